package org.magnoliaswitch.front.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.magnoliaswitch.core.crash.CrashReport;
import org.magnoliaswitch.core.crash.RequestIdentity;
import org.magnoliaswitch.core.peer.CrashReportCodec;
import org.magnoliaswitch.front.load.InstanceIndex;
import org.magnoliaswitch.front.testing.CorruptedMessages;
import org.magnoliaswitch.front.version.ApiKey;
import org.magnoliaswitch.front.version.CallerLimits;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.Quota;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.RouteChanges;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.RouteUpdate;
import org.magnoliaswitch.front.version.ServerList;
import org.magnoliaswitch.front.version.ServicePolicy;
import org.magnoliaswitch.front.version.Team;
import org.magnoliaswitch.front.version.TeamChanges;
import org.magnoliaswitch.front.version.TeamTable;
import org.magnoliaswitch.front.version.Warmup;
import org.magnoliaswitch.front.version.WeightedService;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.testng.annotations.Test;

/** Tests the encoding of configuration updates and of the messages of listeners. */
public final class RouteUpdateCodecTest {
  private static final List<ServicePolicy> SERVICES =
      List.of(new ServicePolicy("s", "/health", 260, new Warmup(3, 2.5)));

  private static Route route(String name) {
    return new Route(
        name,
        "h",
        "/" + name + "/",
        true,
        5,
        4,
        3,
        2,
        List.of(new WeightedService("s", 0.9), new WeightedService("t", 0.1)),
        Set.of("north"),
        false);
  }

  private static PeerUpdate peerUpdate(RouteUpdate update) {
    return new PeerUpdate(
        0,
        1,
        Optional.empty(),
        ServerChanges.between(ServerList.EMPTY, ServerList.EMPTY),
        Evacuations.UNKNOWN,
        List.of(),
        Optional.of(new InstanceIndex(0, 1)),
        Optional.of(new ConfigurationUpdate(update.version(), 12, Optional.of(update))));
  }

  private static RouteUpdate roundTrip(RouteUpdate update) throws IOException {
    PeerUpdate read = PeerUpdateCodec.decode(PeerUpdateCodec.encode(peerUpdate(update)));
    assertEquals(read.configuration().orElseThrow().version(), update.version());
    assertEquals(read.configuration().orElseThrow().ageMillis(), 12);
    return read.configuration().orElseThrow().update().orElseThrow();
  }

  @Test
  public void encodedChangesAreDecoded() throws IOException {
    RouteUpdate changes =
        new RouteUpdate.Changes(
            new RouteChanges(
                7,
                9,
                List.of(route("a")),
                Set.of("b"),
                SERVICES,
                CallerLimits.DEFAULT,
                TeamChanges.NONE));
    assertEquals(roundTrip(changes), changes);
  }

  /** A large configuration is compressed; decoding must restore it, and it must be smaller. */
  @Test
  public void largeConfigurationIsCompressedAndRestored() throws IOException {
    List<Route> routes = new ArrayList<>();
    for (int i = 0; i < 1_700; i++) {
      routes.add(route("r" + Integer.toHexString(i * 0x9E3779B9)));
    }
    RouteTable table = new RouteTable(9, routes, SERVICES, CallerLimits.DEFAULT);
    RouteUpdate full = new RouteUpdate.Full(table);
    RouteTable read = roundTrip(full).applyTo(RouteTable.EMPTY).orElseThrow();
    assertEquals(new HashSet<>(read.routes()), new HashSet<>(routes));
    assertEquals(List.copyOf(read.services()), SERVICES);
    assertTrue(RouteUpdateCodec.encode(Optional.of(full)).length < 60 * routes.size());
  }

  @Test
  public void corruptedUpdatesAreDecodedOrRejected() {
    List<Route> routes = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      routes.add(route("r" + i));
    }
    RouteTable table = new RouteTable(9, routes, SERVICES, CallerLimits.DEFAULT);
    byte[] good = PeerUpdateCodec.encode(peerUpdate(new RouteUpdate.Full(table)));
    CorruptedMessages.assertDecodedOrRejected(good, 8, PeerUpdateCodec::decode);
  }

  /** Tests versions with teams. */
  public static final class Teams {
    private static final Team RED =
        new Team("red", Set.of(new ApiKey("r1"), new ApiKey("r2")), new Quota(2.5, 4), 1);
    private static final Team BLUE = new Team("blue", Set.of(new ApiKey("b1")), Quota.UNLIMITED, 0);
    private static final RouteUpdate FULL = new RouteUpdate.Full(table(List.of(RED, BLUE)));
    private static final RouteUpdate CHANGES = changes(List.of(RED), Set.of("green"), true);

    private static RouteTable table(List<Team> teams) {
      return new RouteTable(
          9,
          List.of(route("a"), route("b").withoutKeys()),
          SERVICES,
          CallerLimits.DEFAULT,
          new TeamTable(teams));
    }

    private static RouteUpdate changes(List<Team> changed, Set<String> removed, boolean declared) {
      return new RouteUpdate.Changes(
          new RouteChanges(
              7,
              9,
              List.of(route("b").withoutKeys(), route("c")),
              Set.of("d"),
              SERVICES,
              CallerLimits.DEFAULT,
              new TeamChanges(changed, removed, declared)));
    }

    private static int kind(RouteUpdate update) throws IOException {
      try (MessageUnpacker in =
          MessagePack.newDefaultUnpacker(RouteUpdateCodec.encode(Optional.of(update)))) {
        return in.unpackInt();
      }
    }

    @Test
    public void wholeVersionIsDecoded() throws IOException {
      RouteTable read = roundTrip(FULL).applyTo(RouteTable.EMPTY).orElseThrow();
      assertEquals(new HashSet<>(read.teams().teams()), Set.of(RED, BLUE));
      assertEquals(read.teams().find("r2"), RED);
      assertEquals(new HashSet<>(read.routes()), Set.of(route("a"), route("b").withoutKeys()));
    }

    @Test
    public void changesAreDecoded() throws IOException {
      assertEquals(roundTrip(CHANGES), CHANGES);
    }

    /**
     * Guards against an instance of an earlier release that applies a version without its teams: it
     * would serve requests without keys. It knows kinds 1 and 2 and takes others for absent.
     */
    @Test
    public void updatesThatInvolveTeamsHaveOtherKinds() throws IOException {
      assertEquals(kind(FULL), 3);
      assertEquals(kind(CHANGES), 4);
      assertEquals(kind(changes(List.of(), Set.of(), true)), 4, "teams are unchanged");
      assertEquals(kind(changes(List.of(), Set.of("red"), false)), 4, "the last team is removed");
      assertEquals(kind(new RouteUpdate.Full(table(List.of()))), 1);
      assertEquals(kind(changes(List.of(), Set.of(), false)), 2);
    }

    /**
     * Guards against applying a version from an instance of an earlier release, which does not know
     * whether the version has teams. Such an update ends before the teams.
     */
    @Test
    public void updatesOfAnEarlierReleaseAreAbsent() throws IOException {
      for (RouteUpdate update :
          List.of(new RouteUpdate.Full(table(List.of())), changes(List.of(), Set.of(), false))) {
        assertTrue(read(update, 0).isPresent());
        byte[] teams = noTeams(update);
        assertEquals(read(update, teams.length), Optional.empty());
      }
    }

    private static byte[] noTeams(RouteUpdate update) throws IOException {
      List<Route> routes =
          switch (update) {
            case RouteUpdate.Full full -> List.copyOf(full.table().routes());
            case RouteUpdate.Changes changes -> changes.changes().changed();
          };
      try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
        TeamTableCodec.write(out, TeamChanges.NONE, routes);
        return out.toByteArray();
      }
    }

    /** Reads an update whose body ends earlier by a number of bytes. */
    private static Optional<RouteUpdate> read(RouteUpdate update, int withoutLast)
        throws IOException {
      byte[] encoded = RouteUpdateCodec.encode(Optional.of(update));
      try (MessageUnpacker in = MessagePack.newDefaultUnpacker(encoded);
          MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
        out.packInt(in.unpackInt());
        assertFalse(in.unpackBoolean(), "compressed");
        out.packBoolean(false);
        int length = in.unpackBinaryHeader() - withoutLast;
        out.packBinaryHeader(length);
        out.writePayload(in.readPayload(length));
        try (MessageUnpacker shortened = MessagePack.newDefaultUnpacker(out.toByteArray())) {
          return RouteUpdateCodec.read(shortened);
        }
      }
    }

    @Test
    public void corruptedUpdatesAreDecodedOrRejected() {
      for (RouteUpdate update : List.of(FULL, CHANGES)) {
        byte[] good = PeerUpdateCodec.encode(peerUpdate(update));
        CorruptedMessages.assertDecodedOrRejected(good, 14, PeerUpdateCodec::decode);
      }
    }

    /** Guards against keys in log lines that show an update. */
    @Test
    public void textOfAnUpdateContainsNoKey() {
      // The hash codes of objects may contain the text of a key by chance.
      String text = (FULL + " " + CHANGES + " " + RED).replaceAll("@[0-9a-f]+\\b", "");
      assertFalse(text.contains("r1") || text.contains("b1"), text);
    }
  }

  /** Tests the messages of listeners. */
  public static final class ListenerUpdates {
    private static final List<CrashReport> REPORTS =
        List.of(new CrashReport.TrialStarted(new RequestIdentity(1, -2), 3));
    private static final ListenerUpdate UPDATE =
        new ListenerUpdate(
            REPORTS,
            Optional.of(new HeldConfiguration(9, 7, HeldConfiguration.Delivery.DEFERRED)),
            Optional.of(
                peerUpdate(
                    new RouteUpdate.Changes(
                        new RouteChanges(
                            7,
                            9,
                            List.of(),
                            Set.of("b"),
                            SERVICES,
                            CallerLimits.DEFAULT,
                            TeamChanges.NONE)))));

    @Test
    public void encodedUpdateIsDecoded() throws IOException {
      assertEquals(ListenerUpdateCodec.decode(ListenerUpdateCodec.encode(UPDATE)), UPDATE);
    }

    /** Instances are replaced one at a time, so different releases exchange messages. */
    @Test
    public void earlierReleaseExchangesReportsOnly() throws IOException {
      byte[] earlier = CrashReportCodec.encode(REPORTS);
      assertEquals(
          ListenerUpdateCodec.decode(earlier),
          new ListenerUpdate(REPORTS, Optional.empty(), Optional.empty()));
      assertEquals(CrashReportCodec.decode(ListenerUpdateCodec.encode(UPDATE)), REPORTS);
    }

    @Test
    public void corruptedUpdatesAreDecodedOrRejected() {
      byte[] good = ListenerUpdateCodec.encode(UPDATE);
      CorruptedMessages.assertDecodedOrRejected(good, 9, ListenerUpdateCodec::decode);
    }
  }
}
