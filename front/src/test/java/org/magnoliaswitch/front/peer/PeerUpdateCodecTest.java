package org.magnoliaswitch.front.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;

import com.google.common.primitives.Bytes;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliaswitch.core.crash.CrashReport;
import org.magnoliaswitch.core.crash.RequestIdentity;
import org.magnoliaswitch.core.peer.CrashReportCodec;
import org.magnoliaswitch.front.load.InstanceIndex;
import org.magnoliaswitch.front.testing.CorruptedMessages;
import org.magnoliaswitch.front.testing.Servers;
import org.magnoliaswitch.front.version.CallerLimits;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.Revision;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.ServerEntry;
import org.magnoliaswitch.front.version.ServerList;
import org.magnoliaswitch.front.version.ServicePolicy;
import org.magnoliaswitch.front.version.Warmup;
import org.magnoliaswitch.front.version.WeightedService;
import org.testng.annotations.Test;

/** Tests the encoding of updates between instances. */
public final class PeerUpdateCodecTest {
  private static final RequestIdentity REQUEST = new RequestIdentity(1, -2);
  private static final List<CrashReport> REPORTS =
      List.of(
          new CrashReport.Crashed(REQUEST, "i@7", true),
          new CrashReport.Cleared(REQUEST, Set.of("i@7", "j@0"), 2),
          new CrashReport.TrialStarted(REQUEST, 3));
  private static final PeerUpdate UPDATE =
      new PeerUpdate(
          17,
          3,
          Optional.of(
              new RouteTable(
                  7,
                  List.of(
                      new Route(
                          "r",
                          "h",
                          "/p/",
                          true,
                          5,
                          4,
                          3,
                          2,
                          List.of(new WeightedService("s", 0.9), new WeightedService("t", 0.1)),
                          Set.of("north"),
                          false)),
                  List.of(new ServicePolicy("s", "/health", 260, new Warmup(3, 2.5))),
                  CallerLimits.DEFAULT)),
          new ServerChanges(Revision.of(0, 9), List.of(Servers.entry("i", true)), List.of("j")),
          new Evacuations(Revision.of(0, 8), Set.of("x", "y")),
          REPORTS,
          Optional.of(new InstanceIndex(2, 5)),
          Optional.empty());

  private static PeerUpdate withConfiguration(Revision servers, Revision evacuations) {
    return new PeerUpdate(
        17,
        3,
        Optional.empty(),
        new ServerChanges(servers, List.of(Servers.entry("i", true)), List.of("j")),
        new Evacuations(evacuations, Set.of("x", "y")),
        REPORTS,
        Optional.of(new InstanceIndex(2, 5)),
        Optional.of(new ConfigurationUpdate(7, 11, Optional.empty())));
  }

  @Test
  public void revisionsAreDecoded() throws IOException {
    PeerUpdate update = withConfiguration(new Revision(3, 9, false), Revision.of(2, 8));
    PeerUpdate read = PeerUpdateCodec.decode(PeerUpdateCodec.encode(update));
    assertEquals(read.servers(), update.servers());
    assertEquals(read.evacuations(), update.evacuations());
    assertEquals(read.configuration(), update.configuration());
  }

  /** An instance of an earlier release names versions only, which have no epoch. */
  @Test
  public void versionsOfEarlierReleaseHaveNoEpoch() throws IOException {
    Revision servers = new Revision(3, 9, false);
    Revision evacuations = Revision.of(3, 8);
    byte[] all = PeerUpdateCodec.encode(withConfiguration(servers, evacuations));
    int revisions = PeerUpdateCodec.encodeRevisions(servers, evacuations).length;
    PeerUpdate earlier = PeerUpdateCodec.decode(Arrays.copyOf(all, all.length - revisions));
    assertEquals(earlier.servers().revision(), Revision.of(0, 8));
    assertEquals(earlier.evacuations().revision(), Revision.of(0, 8));
  }

  @Test
  public void encodedUpdateIsDecoded() throws IOException {
    PeerUpdate read = PeerUpdateCodec.decode(PeerUpdateCodec.encode(UPDATE));
    assertEquals(read.ageMillis(), 17);
    assertEquals(read.instances(), 3);
    assertEquals(read.servers(), UPDATE.servers());
    assertEquals(read.routes().orElseThrow().version(), 7);
    assertEquals(read.routes().get().routes(), UPDATE.routes().orElseThrow().routes());
    assertEquals(read.routes().get().limits(), CallerLimits.DEFAULT);
    assertEquals(read.crashes(), REPORTS);
    assertEquals(read.evacuations(), UPDATE.evacuations());
    assertEquals(read.routes().get().warmup("s"), new Warmup(3, 2.5));
  }

  /**
   * Instances are replaced one at a time, so different releases exchange updates: an update that
   * ends before the reports comes from an earlier release, and a report of an unknown kind from a
   * later one.
   */
  @Test
  public void fieldsOfOtherReleasesAreIgnored() throws IOException {
    byte[] all = PeerUpdateCodec.encode(UPDATE);
    byte[] reports = CrashReportCodec.encode(REPORTS);
    int start = indexOf(all, reports);
    PeerUpdate earliest = PeerUpdateCodec.decode(Arrays.copyOf(all, start));
    assertEquals(earliest.crashes(), List.of());
    PeerUpdate earlier = PeerUpdateCodec.decode(Arrays.copyOf(all, start + reports.length));
    assertEquals(earlier.crashes(), REPORTS);
    assertFalse(earlier.evacuations().known());
    byte[] later = CrashReportCodec.encode(List.of(new CrashReport.TrialStarted(REQUEST, 3)));
    int kind = 3;
    assertEquals(later[kind], 3);
    later[kind] = 99;
    assertEquals(CrashReportCodec.decode(later), List.of());
  }

  private static int indexOf(byte[] all, byte[] part) {
    for (int start = 0; start + part.length <= all.length; start++) {
      if (Arrays.equals(all, start, start + part.length, part, 0, part.length)) {
        return start;
      }
    }
    throw new AssertionError("the message does not contain the reports");
  }

  /** A listener is as little trusted as a seed: whatever it sends is decoded or rejected. */
  @Test
  public void corruptedReportsAreDecodedOrRejected() {
    byte[] good = CrashReportCodec.encode(REPORTS);
    CorruptedMessages.assertDecodedOrRejected(good, 6, CrashReportCodec::decode);
  }

  /**
   * A peer of another release, or an unrelated client, may send arbitrary bytes; decoding them must
   * throw nothing but an {@link IOException}.
   */
  @Test
  public void corruptedMessagesAreDecodedOrRejected() {
    byte[] good = PeerUpdateCodec.encode(UPDATE);
    CorruptedMessages.assertDecodedOrRejected(good, 5, PeerUpdateCodec::decode);
  }

  @Test
  public void otherProtocolVersionIsRejected() {
    byte[] other = PeerUpdateCodec.encode(UPDATE);
    other[0] = 1;
    assertThrows(IOException.class, () -> PeerUpdateCodec.decode(other));
  }

  /** Listeners share the encoded message, and each gets a tail with its own index. */
  @Test
  public void tailCompletesASharedMessage() throws IOException {
    PeerUpdate shared =
        new PeerUpdate(
            0,
            1,
            Optional.empty(),
            ServerChanges.between(ServerList.EMPTY, ServerList.EMPTY),
            Evacuations.UNKNOWN,
            List.of(),
            Optional.empty(),
            Optional.empty());
    InstanceIndex index = new InstanceIndex(3, 97);
    byte[] message = PeerUpdateCodec.encode(shared);
    byte[] tail = PeerUpdateCodec.encodeTail(index, 7, 0);
    byte[] update = RouteUpdateCodec.encode(Optional.empty());
    byte[] complete = Bytes.concat(message, tail, update);
    assertEquals(PeerUpdateCodec.decode(complete).instanceIndex(), Optional.of(index));
    assertEquals(PeerUpdateCodec.decode(message).instanceIndex(), Optional.empty());
  }

  /** A server that restarts immediately, with nothing else changed, must count as changed. */
  @Test
  public void restartCountsAsChange() throws IOException {
    ServerEntry entry = Servers.entry("a", false);
    ServerList before = new ServerList(Revision.of(0, 1), Map.of("a", entry));
    ServerList after = new ServerList(Revision.of(0, 2), Map.of("a", Servers.restarted(entry)));
    ServerChanges changes = ServerChanges.between(before, after);
    PeerUpdate read =
        PeerUpdateCodec.decode(
            PeerUpdateCodec.encode(
                new PeerUpdate(
                    0,
                    1,
                    Optional.empty(),
                    changes,
                    Evacuations.UNKNOWN,
                    List.of(),
                    Optional.empty(),
                    Optional.empty())));
    assertEquals(read.servers().applyTo(before), after);
  }

  @Test
  public void changesTransformOneListIntoTheNext() {
    ServerList before =
        new ServerList(
            Revision.of(0, 1),
            Map.of("a", Servers.entry("a", false), "b", Servers.entry("b", false)));
    ServerList after =
        new ServerList(
            Revision.of(0, 2),
            Map.of("a", Servers.entry("a", true), "c", Servers.entry("c", false)));
    ServerChanges changes = ServerChanges.between(before, after);
    assertEquals(changes.applyTo(before), after);
    assertEquals(changes.removed(), List.of("b"));
    assertEquals(ServerChanges.between(after, after).changed(), List.of());
  }
}
