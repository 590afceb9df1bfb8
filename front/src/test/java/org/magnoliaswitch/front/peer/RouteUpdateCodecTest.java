package org.magnoliaswitch.front.peer;

import static org.testng.Assert.assertEquals;
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
import org.magnoliaswitch.front.version.CallerLimits;
import org.magnoliaswitch.front.version.Evacuations;
import org.magnoliaswitch.front.version.Route;
import org.magnoliaswitch.front.version.RouteChanges;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.RouteUpdate;
import org.magnoliaswitch.front.version.ServerList;
import org.magnoliaswitch.front.version.ServicePolicy;
import org.magnoliaswitch.front.version.TeamChanges;
import org.magnoliaswitch.front.version.Warmup;
import org.magnoliaswitch.front.version.WeightedService;
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
