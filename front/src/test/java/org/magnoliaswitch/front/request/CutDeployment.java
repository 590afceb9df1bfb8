package org.magnoliaswitch.front.request;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Collectors;
import org.magnoliaswitch.front.testing.CuttableLink;
import org.magnoliaswitch.front.testing.CuttableLink.Cut;
import org.magnoliaswitch.front.testing.RunningFront;
import org.magnoliaswitch.front.testing.ScriptedServer;
import org.magnoliaswitch.front.version.ServerEntry;

/** Servers and a group of instances, of which the last ones reach them over links to cut. */
final class CutDeployment implements AutoCloseable {
  /** Timeout of all routes. */
  static final long TIMEOUT_MILLIS = 1_000;

  /** Number of servers. */
  static final int SERVERS = 4;

  private final List<ScriptedServer> servers = new ArrayList<>();
  private final List<List<CuttableLink>> links = new ArrayList<>();
  private final List<RunningFront> fronts;
  private int lastRequest;

  CutDeployment(int well, int cut) throws IOException {
    this(well, cut, request -> request.respond(200, "done"));
  }

  CutDeployment(int well, int cut, ScriptedServer.Script script) throws IOException {
    for (int i = 0; i < SERVERS; i++) {
      servers.add(new ScriptedServer("i-" + i, script));
    }
    List<ServerEntry> direct = servers.stream().map(ScriptedServer::entry).toList();
    List<List<ServerEntry>> seen = new ArrayList<>();
    for (int i = 0; i < well; i++) {
      seen.add(direct);
    }
    for (int i = 0; i < cut; i++) {
      List<CuttableLink> own = new ArrayList<>();
      for (ServerEntry entry : direct) {
        own.add(new CuttableLink(entry));
      }
      links.add(own);
      seen.add(own.stream().map(CuttableLink::entry).toList());
    }
    fronts = startUntilLinksAreUsed(well, seen);
  }

  /**
   * Starts the instances again until each has read its own list of servers before it learnt that of
   * its seed, which does not lead over its links.
   */
  private List<RunningFront> startUntilLinksAreUsed(int well, List<List<ServerEntry>> seen)
      throws IOException {
    List<RunningFront> started = RunningFront.group(TIMEOUT_MILLIS, seen);
    while (!linksAreUsed(started.subList(well, started.size()))) {
      started.forEach(front -> front.stop(() -> {}));
      started = RunningFront.group(TIMEOUT_MILLIS, seen);
    }
    return started;
  }

  private boolean linksAreUsed(List<RunningFront> cut) throws IOException {
    for (RunningFront front : cut) {
      int before = usesOfLinks();
      served(front, "GET", "safe", 1);
      if (usesOfLinks() == before) {
        return false;
      }
    }
    return true;
  }

  /** The instances; the first one is the seed. */
  List<RunningFront> fronts() {
    return fronts;
  }

  RunningFront first() {
    return fronts.getFirst();
  }

  RunningFront last() {
    return fronts.getLast();
  }

  void cut(Cut cut) throws IOException {
    for (List<CuttableLink> own : links) {
      for (CuttableLink link : own) {
        link.cut(cut);
      }
    }
  }

  /** Cuts the links that a request waits on, and no others. */
  void cutLinksInUse() throws IOException {
    for (List<CuttableLink> own : links) {
      for (CuttableLink link : own) {
        if (link.waiting() > 0) {
          link.cut(Cut.RESET);
        }
      }
    }
  }

  void restore() throws IOException {
    for (List<CuttableLink> own : links) {
      for (CuttableLink link : own) {
        link.restore();
      }
    }
  }

  int usesOfLinks() {
    return links.stream().flatMap(List::stream).mapToInt(CuttableLink::uses).sum();
  }

  /** Sends requests one after the other and returns how many were served at the first try. */
  int served(RunningFront front, String method, String route, int count) throws IOException {
    int served = 0;
    for (int i = 0; i < count; i++) {
      String path = "/%s/%d".formatted(route, lastRequest++);
      if (front.request(method, path, TIMEOUT_MILLIS).startsWith("HTTP/1.1 200")) {
        served++;
      }
    }
    return served;
  }

  /** Sends requests until one is served. */
  void awaitServed(RunningFront front, String method, String route) throws IOException {
    int served = 0;
    while (served == 0) {
      served = served(front, method, route, 1);
    }
  }

  /** Largest number of executions of one request. */
  long mostExecutions() {
    return servers.stream()
        .flatMap(server -> server.received().stream())
        .collect(
            Collectors.groupingBy(request -> request.header("Request-Id"), Collectors.counting()))
        .values()
        .stream()
        .mapToLong(Long::longValue)
        .max()
        .orElse(0);
  }

  @Override
  public void close() throws IOException {
    for (List<CuttableLink> own : links) {
      for (CuttableLink link : own) {
        link.close();
      }
    }
    for (ScriptedServer server : servers) {
      server.close();
    }
    CountDownLatch stopped = new CountDownLatch(fronts.size());
    fronts.forEach(front -> front.stop(stopped::countDown));
  }
}
