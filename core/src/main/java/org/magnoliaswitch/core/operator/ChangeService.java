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

/**
 * Validates configuration changes, submits them to the store and activates accepted versions on
 * this instance.
 */
public final class ChangeService {
  private final ControlPlane control;

  public ChangeService(ControlPlane control) {
    this.control = control;
  }

  /**
   * Submits a change. The status is accepted only if the platform has confirmed the transaction.
   */
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
    // Cached contents belong to an accepted version, so the store already contains them.
    contents.keySet().removeIf(key -> control.cache().get(key).isPresent());
    Acceptance acceptance = control.store().accept(manifest, digest, contents);
    return switch (acceptance) {
      case Acceptance.Accepted accepted -> activate(accepted, contents);
      case Acceptance.Raced raced -> compareWithCurrent(request, raced.current());
      case Acceptance.Undecided undecided ->
          new ChangeReply(
              ChangeReply.Status.UNDECIDED, request.baseVersion(), List.of(undecided.reason()));
    };
  }

  private ChangeReply activate(Acceptance.Accepted accepted, Map<String, byte[]> contents) {
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
      // The version is accepted nevertheless. This instance adopts it later, like any other
      // instance.
      control.state().timeline().record(EventKind.VERSION_REFUSED, "version=" + version);
    }
    return new ChangeReply(ChangeReply.Status.ACCEPTED, version, List.of());
  }

  private ChangeReply compareWithCurrent(ChangeRequest request, ConfigurationStore.Head current) {
    List<String> differences;
    try {
      Map<String, byte[]> currentParts = encodeParts(loadStored(current.manifest()).parts());
      Map<String, byte[]> requestedParts = encodeParts(request.parts());
      differences = ConfigurationDiff.lines(currentParts, requestedParts);
    } catch (IOException | PlatformException e) {
      differences = List.of("the current version cannot be read now: " + e.getMessage());
    }
    return new ChangeReply(ChangeReply.Status.RACED, current.version(), differences);
  }

  /** Returns a version whose contents are in this instance's cache. */
  public VersionView loadCached(String digest) throws IOException {
    try {
      return load(digest, d -> control.cache().get(d));
    } catch (PlatformException e) {
      throw new IOException(e);
    }
  }

  /** Returns a version from the store. */
  public VersionView loadStored(String digest) throws IOException, PlatformException {
    return load(digest, control.store()::content);
  }

  private interface Loader {
    Optional<byte[]> load(String digest) throws PlatformException;
  }

  private static VersionView load(String digest, Loader loader)
      throws IOException, PlatformException {
    byte[] content =
        loader.load(digest).orElseThrow(() -> new IOException("no manifest with digest " + digest));
    Manifest manifest = Json.MAPPER.readValue(content, Manifest.class);
    TreeMap<String, String> parts = new TreeMap<>();
    for (Map.Entry<String, String> part : manifest.parts().entrySet()) {
      byte[] text =
          loader
              .load(part.getValue())
              .orElseThrow(() -> new IOException("no content of " + part.getKey()));
      parts.put(part.getKey(), new String(text, StandardCharsets.UTF_8));
    }
    return new VersionView(
        manifest.version(), manifest.changeId(), manifest.author(), manifest.note(), parts);
  }

  private static Map<String, byte[]> encodeParts(Map<String, String> texts) {
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
