package org.magnoliaswitch.core.process;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/** The paths of this instance to the servers of each service. Thread-safe. */
public final class ServicePaths {
  private final Map<String, ServicePath> byService = new ConcurrentHashMap<>();
  private final List<BiConsumer<String, ServicePath.Change>> listeners =
      new CopyOnWriteArrayList<>();
  private volatile ToIntFunction<String> serverCount = service -> 1;

  /** Sets what counts the servers of a service. */
  public void countServersWith(ToIntFunction<String> count) {
    serverCount = count;
  }

  /**
   * Adds a listener, which is called with the service whose path has changed, on the thread that
   * found that out.
   */
  public void addListener(BiConsumer<String, ServicePath.Change> listener) {
    listeners.add(listener);
  }

  /** Whether the path to all servers of a service is lost. */
  public boolean lost(String service) {
    return ask(service, ServicePath::lost, false);
  }

  /** Number of services whose path is lost. */
  public int lostCount() {
    return (int) byService.keySet().stream().filter(this::lost).count();
  }

  /** Returns the services of which not all servers are reached directly. */
  public List<String> withDetours() {
    return byService.keySet().stream()
        .filter(service -> lost(service) || !detours(service).isEmpty())
        .toList();
  }

  /** Returns the servers of a service that only other instances reach. */
  public Set<String> detours(String service) {
    return ask(service, ServicePath::detours, Set.of());
  }

  /** Forgets a server that has left. */
  public void forget(String service, String serverId) {
    ServicePath path = byService.get(service);
    if (path != null) {
      synchronized (path) {
        path.forget(serverId);
      }
    }
  }

  /** Whether a server is to be reached through other instances. */
  public boolean detour(String service, String serverId) {
    return ask(service, path -> path.detour(serverId), false);
  }

  /** Records that this instance has opened a connection itself. */
  public void directOpened(String service, String serverId) {
    ServicePath path = byService.get(service);
    if (path == null) {
      return;
    }
    ServicePath.Change change;
    synchronized (path) {
      change = path.recordDirect(serverId);
    }
    notify(service, change);
  }

  /** Records that another instance has reached a server that this one has not reached so far. */
  public void reachedByOther(String service, String serverId) {
    int servers = serverCount.applyAsInt(service);
    ServicePath path = byService.computeIfAbsent(service, name -> new ServicePath());
    ServicePath.Change change;
    synchronized (path) {
      change = path.recordReachedByOther(serverId, servers);
    }
    notify(service, change);
  }

  private <T> T ask(String service, Function<ServicePath, T> question, T withoutPath) {
    ServicePath path = byService.get(service);
    if (path == null) {
      return withoutPath;
    }
    synchronized (path) {
      return question.apply(path);
    }
  }

  private void notify(String service, ServicePath.Change change) {
    if (change != ServicePath.Change.NONE) {
      listeners.forEach(listener -> listener.accept(service, change));
    }
  }
}
