package org.magnoliaswitch.core.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliaswitch.core.platform.ConditionalWrite;
import org.magnoliaswitch.core.platform.ObjectStore;
import org.magnoliaswitch.core.platform.PlatformException;
import org.magnoliaswitch.core.platform.PlatformTable;
import org.magnoliaswitch.core.platform.Row;
import org.magnoliaswitch.core.platform.TransactionResult;
import org.magnoliaswitch.core.version.Json;
import org.magnoliaswitch.core.version.Manifest;

/**
 * Accepted configuration versions in the platform's table and object store.
 *
 * <p>A version is accepted by one transaction that advances the head row from the version on which
 * it is based to the next one and inserts a row for the change id. Contents are stored before,
 * under their digests. Versions are ordered by the head row alone, so of two concurrent changes to
 * the same version only one is accepted; the change row identifies a repeated change whose first
 * answer was lost.
 */
public final class ConfigurationStore {
  /** Row that holds the number and digest of the latest accepted version. */
  private static final String HEAD_KEY = "configuration/head";

  private static final String CHANGE_PREFIX = "configuration/change/";
  private static final String VERSION_PREFIX = "configuration/version/";
  private static final long CHANGE_RETENTION_SECONDS = 7L * 24 * 3_600;
  private static final long HISTORY_RETENTION_SECONDS = 400L * 24 * 3_600;
  private static final String CONTENT_PREFIX = "configuration/content/";

  /**
   * A version and the digest of its manifest.
   *
   * @param version version number, 0 if there is none
   * @param manifest digest of the manifest
   */
  public record Head(long version, String manifest) {
    /** No version was accepted yet. */
    public static final Head NONE = new Head(0, "");
  }

  /** Result of a change. */
  public sealed interface Acceptance {
    /** Accepted now or, if {@code repeated}, earlier under the same change id. */
    record Accepted(Head head, boolean repeated) implements Acceptance {}

    /** Rejected because another change was accepted first. */
    record Raced(Head current) implements Acceptance {}

    /** The platform did not answer; the same change id may be sent again. */
    record Undecided(String reason) implements Acceptance {}
  }

  private final PlatformTable table;
  private final ObjectStore objects;

  public ConfigurationStore(PlatformTable table, ObjectStore objects) {
    this.table = table;
    this.objects = objects;
  }

  /** Returns the latest accepted version. */
  public Head head() throws PlatformException {
    return readHead(table.read(List.of(HEAD_KEY)).getFirst());
  }

  /** Returns the content with the given digest. */
  public Optional<byte[]> content(String digest) throws PlatformException {
    return objects.get(CONTENT_PREFIX + digest);
  }

  /** Returns the latest versions, newest first. */
  public List<Head> history(int limit) throws PlatformException {
    return table.scan(VERSION_PREFIX, limit).stream()
        .map(ConfigurationStore::readUnchecked)
        .toList();
  }

  /**
   * Accepts a manifest if its predecessor is still the head.
   *
   * @param manifest the version to accept
   * @param digest digest of the manifest
   * @param contents manifest and parts by digest
   */
  public Acceptance accept(Manifest manifest, String digest, Map<String, byte[]> contents) {
    try {
      Optional<Head> earlier = acceptedChange(manifest.changeId());
      if (earlier.isPresent()) {
        return new Acceptance.Accepted(earlier.get(), true);
      }
      Row headRow = table.read(List.of(HEAD_KEY)).getFirst();
      Head current = readHead(headRow);
      if (current.version() != manifest.version() - 1) {
        return new Acceptance.Raced(current);
      }
      for (Map.Entry<String, byte[]> content : contents.entrySet()) {
        objects.put(CONTENT_PREFIX + content.getKey(), content.getValue());
      }
      return commit(manifest, headRow, new Head(manifest.version(), digest));
    } catch (PlatformException e) {
      return new Acceptance.Undecided(String.valueOf(e.getMessage()));
    }
  }

  /**
   * Makes an accepted version the head again that the platform has lost because it was restored
   * from a copy. Without it, the next changes would be accepted under numbers that are in force
   * already, and no instance would adopt them.
   *
   * @param lost a version that was accepted, with its manifest
   * @param contents manifest and parts of the version by digest
   * @return whether the head was written; not if another instance has done so
   */
  public boolean reinstate(Head lost, Manifest manifest, Map<String, byte[]> contents)
      throws PlatformException {
    List<Row> rows =
        table.read(
            List.of(HEAD_KEY, CHANGE_PREFIX + manifest.changeId(), versionKey(lost.version())));
    if (readHead(rows.getFirst()).version() >= lost.version()) {
      return false;
    }
    for (Map.Entry<String, byte[]> content : contents.entrySet()) {
      objects.put(CONTENT_PREFIX + content.getKey(), content.getValue());
    }
    return table.transact(writes(rows, write(lost))) instanceof TransactionResult.Committed;
  }

  private static List<ConditionalWrite> writes(List<Row> rows, String value) {
    return List.of(
        new ConditionalWrite(HEAD_KEY, rows.get(0).version(), value, 0),
        new ConditionalWrite(
            rows.get(1).key(), rows.get(1).version(), value, CHANGE_RETENTION_SECONDS),
        new ConditionalWrite(
            rows.get(2).key(), rows.get(2).version(), value, HISTORY_RETENTION_SECONDS));
  }

  private Acceptance commit(Manifest manifest, Row headRow, Head next) throws PlatformException {
    String value = write(next);
    TransactionResult result =
        table.transact(
            List.of(
                new ConditionalWrite(HEAD_KEY, headRow.version(), value, 0),
                new ConditionalWrite(
                    CHANGE_PREFIX + manifest.changeId(), 0, value, CHANGE_RETENTION_SECONDS),
                new ConditionalWrite(
                    versionKey(next.version()), 0, value, HISTORY_RETENTION_SECONDS)));
    return switch (result) {
      case TransactionResult.Committed committed -> new Acceptance.Accepted(next, false);
      case TransactionResult.Conflict conflict -> resolveConflict(manifest);
      case TransactionResult.Unknown unknown -> resolveUnknown(manifest, unknown);
    };
  }

  private Acceptance resolveConflict(Manifest manifest) throws PlatformException {
    // An earlier attempt of this change may have won, its answer lost and its write applied late.
    Optional<Head> own = acceptedChange(manifest.changeId());
    return own.isPresent()
        ? new Acceptance.Accepted(own.get(), true)
        : new Acceptance.Raced(head());
  }

  private Acceptance resolveUnknown(Manifest manifest, TransactionResult.Unknown unknown)
      throws PlatformException {
    Optional<Head> own = acceptedChange(manifest.changeId());
    // Only the presence of the row is conclusive: if it is absent, the write may still be applied.
    return own.isPresent()
        ? new Acceptance.Accepted(own.get(), false)
        : new Acceptance.Undecided(unknown.reason());
  }

  private Optional<Head> acceptedChange(String changeId) throws PlatformException {
    Row row = table.read(List.of(CHANGE_PREFIX + changeId)).getFirst();
    return row.version() == 0 ? Optional.empty() : Optional.of(readHead(row));
  }

  private static String versionKey(long version) {
    return VERSION_PREFIX + String.format("%012d", version);
  }

  private static Head readHead(Row row) throws PlatformException {
    if (row.version() == 0) {
      return Head.NONE;
    }
    try {
      return Json.MAPPER.readValue(row.value(), Head.class);
    } catch (IOException e) {
      throw new PlatformException("unreadable row " + row.key(), e);
    }
  }

  private static Head readUnchecked(Row row) {
    try {
      return readHead(row);
    } catch (PlatformException e) {
      return Head.NONE;
    }
  }

  private static String write(Head head) {
    try {
      return Json.MAPPER.writeValueAsString(head);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("the head cannot be written as JSON", e);
    }
  }
}
