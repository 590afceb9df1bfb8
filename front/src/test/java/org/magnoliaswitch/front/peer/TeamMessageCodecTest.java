package org.magnoliaswitch.front.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliaswitch.front.load.InstanceIndex;
import org.magnoliaswitch.front.load.QuotaAllocator;
import org.magnoliaswitch.front.testing.CorruptedMessages;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.ServerList;
import org.testng.annotations.Test;

/** Tests the encoding of what instances and seeds tell each other about teams. */
public final class TeamMessageCodecTest {
  /** Tests the news of a seed. */
  public static final class News {
    private static final TeamNews NEWS =
        new TeamNews(
            3,
            2,
            170,
            Optional.of(new TeamNews.States(Set.of("red"), Set.of("red", "blue"))),
            List.of(new QuotaAllocator.Allowance("red", 7, 5)),
            Map.of("blue", 2.5));

    private static PeerUpdate update(Optional<TeamNews> news) {
      return new PeerUpdate(
          0,
          1,
          Optional.empty(),
          ServerChanges.between(ServerList.EMPTY, ServerList.EMPTY),
          Evacuations.UNKNOWN,
          List.of(),
          Optional.of(new InstanceIndex(0, 1)),
          Optional.of(new ConfigurationUpdate(9, 12, Optional.empty())),
          news);
    }

    @Test
    public void encodedNewsIsDecoded() throws IOException {
      byte[] encoded = PeerUpdateCodec.encode(update(Optional.of(NEWS)));
      assertEquals(PeerUpdateCodec.decode(encoded).teams(), Optional.of(NEWS));
    }

    /** A seed of an earlier release, or without teams, tells nothing about teams. */
    @Test
    public void absentNewsIsDecodedAsAbsent() throws IOException {
      byte[] encoded = PeerUpdateCodec.encode(update(Optional.empty()));
      assertEquals(PeerUpdateCodec.decode(encoded).teams(), Optional.empty());
    }

    /** Guards against a damaged number that spoils the count of a quota for good. */
    @Test
    public void corruptedNewsIsRejectedOrHasFiniteNumbers() {
      byte[] good = PeerUpdateCodec.encode(update(Optional.of(NEWS)));
      CorruptedMessages.assertDecodedOrRejected(
          good,
          15,
          bytes ->
              PeerUpdateCodec.decode(bytes)
                  .teams()
                  .ifPresent(
                      news ->
                          news.requestedTokens()
                              .values()
                              .forEach(TeamMessageCodecTest::assertCount)));
    }
  }

  /** Tests the reports of an instance. */
  public static final class Reports {
    private static final ListenerUpdate UPDATE =
        new ListenerUpdate(
            List.of(),
            Optional.of(new HeldConfiguration(9, 7, HeldConfiguration.Delivery.DEFERRED)),
            Optional.empty(),
            Optional.of(
                new TeamReport(
                    4,
                    3,
                    List.of(
                        new TeamReport.Demand("red", 7, 9, 0),
                        new TeamReport.Demand("blue", -1, 0, 2.5)))));

    @Test
    public void encodedReportIsDecoded() throws IOException {
      assertEquals(ListenerUpdateCodec.decode(ListenerUpdateCodec.encode(UPDATE)), UPDATE);
    }

    /** Guards against a damaged number that spoils the count of a quota for good. */
    @Test
    public void corruptedReportIsRejectedOrHasFiniteNumbers() {
      CorruptedMessages.assertDecodedOrRejected(
          ListenerUpdateCodec.encode(UPDATE),
          16,
          bytes ->
              ListenerUpdateCodec.decode(bytes)
                  .teams()
                  .ifPresent(
                      report ->
                          report
                              .demands()
                              .forEach(
                                  demand -> {
                                    assertCount(demand.tokens());
                                    assertCount(demand.asked());
                                  })));
    }
  }

  private static void assertCount(double number) {
    assertTrue(number >= 0 && number < Double.POSITIVE_INFINITY, "number: " + number);
  }
}
