package org.magnoliaswitch.core.operator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.magnoliaswitch.core.platform.PlatformException;
import org.magnoliaswitch.core.process.ConfigurationStore;
import org.magnoliaswitch.core.process.ConfigurationStore.Acceptance;
import org.magnoliaswitch.core.process.ControlPlane;
import org.magnoliaswitch.core.process.EventKind;
import org.magnoliaswitch.core.version.ConfigurationDiff;
import org.magnoliaswitch.core.version.Digest;
import org.magnoliaswitch.core.version.InvalidDeclarationException;
import org.magnoliaswitch.core.version.Json;
import org.magnoliaswitch.core.version.Manifest;
import org.magnoliaswitch.core.version.Problem;
import org.magnoliaswitch.core.version.SnapshotParser;

/** Checks changes, has them accepted by the store and puts them in force here first. */
public final class ChangeService {
  private final ControlPlane control;

  public ChangeService(ControlPlane control) {
    this.control = control;
  }

  /** Serves a change; accepted is said only after the platform confirmed the transaction. */
  public ChangeReply submit(ChangeRequest request) {
    Map<String, byte[]> parts = new TreeMap<>();
    request.parts().forEach((path, text) -> parts.put(path, text.getBytes(StandardCharsets.UTF_8)));
    try {
      SnapshotParser.parse(request.baseVersion() + 1, "", parts);
    } catch (InvalidDeclarationException e) {
      return new ChangeReply(
          ChangeReply.Status.INVALID,
          request.baseVersion(),
          e.problems().stream().map(Problem::toString).toList());
    }
    return accept(request, parts);
  }

  private ChangeReply accept(ChangeRequest request, Map<String, byte[]> parts) {
    Map<String, String> digests = new TreeMap<>();
    Map<String, byte[]> contents = new HashMap<>();
    parts.forEach(
        (path, content) -> {
          digests.put(path, Digest.of(content));
          contents.put(Digest.of(content), content);
        });
    Manifest manifest =
        new Manifest(
            request.baseVersion() + 1,
            request.changeId(),
            request.author(),
            request.note(),
            digests);
    byte[] encoded = encode(manifest);
    String digest = Digest.of(encoded);
    contents.put(digest, encoded);
    // What is held belongs to an accepted version, so the store has it already.
    contents.keySet().removeIf(held -> control.cache().get(held).isPresent());
    Acceptance acceptance = control.store().accept(manifest, digest, contents);
    return switch (acceptance) {
      case Acceptance.Accepted accepted -> accepted(accepted, contents);
      case Acceptance.Raced raced -> raced(request, raced.current());
      case Acceptance.Undecided undecided ->
          new ChangeReply(
              ChangeReply.Status.UNDECIDED, request.baseVersion(), List.of(undecided.reason()));
    };
  }

  private ChangeReply accepted(Acceptance.Accepted accepted, Map<String, byte[]> contents) {
    long version = accepted.head().version();
    if (accepted.repeated()) {
      return new ChangeReply(ChangeReply.Status.ALREADY_ACCEPTED, version, List.of());
    }
    control.state().timeline().record(EventKind.VERSION_ACCEPTED, "version=" + version);
    try {
      contents.values().forEach(control.cache()::put);
      if (control.state().version().adopt(accepted.head().manifest())) {
        control.gossip().pushUpdate();
      }
    } catch (IOException e) {
      // It is accepted all the same; this instance follows as any other does.
      control.state().timeline().record(EventKind.VERSION_REFUSED, "version=" + version);
    }
    return new ChangeReply(ChangeReply.Status.ACCEPTED, version, List.of());
  }

  private ChangeReply raced(ChangeRequest request, ConfigurationStore.Head current) {
    List<String> changed;
    try {
      Map<String, byte[]> now = bytes(loadStored(current.manifest()).parts());
      Map<String, byte[]> wanted = bytes(request.parts());
      changed = ConfigurationDiff.lines(now, wanted);
    } catch (IOException | PlatformException e) {
      changed = List.of("the current version cannot be read now: " + e.getMessage());
    }
    return new ChangeReply(ChangeReply.Status.RACED, current.version(), changed);
  }

  /** A version whose contents are held here. */
  public VersionView loadHeld(String digest) throws IOException {
    try {
      return load(digest, d -> control.cache().get(d));
    } catch (PlatformException e) {
      throw new IOException(e);
    }
  }

  /** A version from the store. */
  public VersionView loadStored(String digest) throws IOException, PlatformException {
    return load(digest, control.store()::content);
  }

  private interface Loader {
    Optional<byte[]> load(String digest) throws PlatformException;
  }

  private static VersionView load(String digest, Loader loader)
      throws IOException, PlatformException {
    byte[] content =
        loader.load(digest).orElseThrow(() -> new IOException("no manifest " + digest));
    Manifest manifest = Json.MAPPER.readValue(content, Manifest.class);
    TreeMap<String, String> parts = new TreeMap<>();
    for (Map.Entry<String, String> part : manifest.parts().entrySet()) {
      byte[] text =
          loader.load(part.getValue()).orElseThrow(() -> new IOException("no " + part.getKey()));
      parts.put(part.getKey(), new String(text, StandardCharsets.UTF_8));
    }
    return new VersionView(
        manifest.version(), manifest.changeId(), manifest.author(), manifest.note(), parts);
  }

  private static Map<String, byte[]> bytes(Map<String, String> texts) {
    Map<String, byte[]> bytes = new TreeMap<>();
    texts.forEach((path, text) -> bytes.put(path, text.getBytes(StandardCharsets.UTF_8)));
    return bytes;
  }

  private static byte[] encode(Manifest manifest) {
    try {
      return Json.MAPPER.writeValueAsBytes(manifest);
    } catch (IOException e) {
      throw new IllegalStateException("a manifest is always writable as JSON", e);
    }
  }
}
