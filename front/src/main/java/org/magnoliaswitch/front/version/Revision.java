package org.magnoliaswitch.front.version;

import java.util.Comparator;

/**
 * Position of a state in the history of its source, which decides which of two states is newer.
 *
 * @param epoch how often the source has been restored from a copy; a restored source assigns
 *     versions again, so those of different epochs are unrelated
 * @param version version of the source within the epoch
 * @param exact whether the state is exactly what the source returned and everything that is missing
 *     from it has left; false while it contains entries that the source may have lost and that are
 *     retained, or while its holder does not know whether the source was available. An exact state
 *     of the same version is newer, since the source does not change when retention ends
 */
public record Revision(long epoch, long version, boolean exact) implements Comparable<Revision> {
  /** Revision before anything has been received. */
  public static final Revision NONE = new Revision(0, 0, false);

  private static final Comparator<Revision> ORDER =
      Comparator.comparingLong(Revision::epoch)
          .thenComparingLong(Revision::version)
          .thenComparing(Revision::exact);

  /** Checks the fields, which may come from other processes. */
  public Revision {
    if (epoch < 0 || version < 0) {
      throw new IllegalArgumentException(
          "epoch " + epoch + " and version " + version + " must not be negative");
    }
  }

  /** Returns the revision of an exact state. */
  public static Revision of(long epoch, long version) {
    return new Revision(epoch, version, true);
  }

  /** Returns the same position for a state with retained entries. */
  public Revision inexact() {
    return new Revision(epoch, version, false);
  }

  /** Whether a state has been received. */
  public boolean known() {
    return compareTo(NONE) > 0;
  }

  /** Whether a state of this revision replaces one of another revision. */
  public boolean newerThan(Revision other) {
    return compareTo(other) > 0;
  }

  /**
   * Whether the source had this version before another one. A state with such a revision says
   * nothing about whether the other one is still the newest.
   */
  public boolean precedes(Revision other) {
    return epoch < other.epoch || (epoch == other.epoch && version < other.version);
  }

  @Override
  public int compareTo(Revision other) {
    return ORDER.compare(this, other);
  }

  /** Returns epoch and version for the log. */
  @Override
  public String toString() {
    return epoch + "/" + version;
  }
}
