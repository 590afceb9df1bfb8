package org.magnoliaswitch.core.process;

import java.util.Arrays;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.peer.PeerSecret;

/**
 * Issues idempotency keys, each of which names the only incarnation that may execute it.
 *
 * <p>As no other incarnation ever executes such a key, the memory of the incarnation suffices to
 * execute it at most once, without a write to the platform and during a platform outage of any
 * length.
 */
public final class KeyIssuer {
  private static final String PREFIX = "mk1";
  private static final int PART_COUNT = 5;
  private static final int RADIX = 36;
  private static final int SIGNATURE_BYTES = 12;

  /**
   * Content of an issued key.
   *
   * @param incarnation incarnation that may execute it
   * @param issuedMillis when it was issued, on the monotonic clock of its incarnation
   * @param sequence sequence number within the incarnation
   */
  public record IssuedKey(String incarnation, long issuedMillis, long sequence) {
    private String text() {
      return PREFIX
          + '.'
          + incarnation
          + '.'
          + Long.toString(issuedMillis, RADIX)
          + '.'
          + Long.toString(sequence, RADIX);
    }
  }

  private final String incarnation;
  private final PeerSecret secret;
  private final Clocks clocks;
  private final long startNanos;
  private final AtomicLong sequence = new AtomicLong();

  public KeyIssuer(String incarnation, PeerSecret secret, Clocks clocks) {
    this.incarnation = incarnation;
    this.secret = secret;
    this.clocks = clocks;
    this.startNanos = clocks.nanos();
  }

  /** Returns a key that was never issued before. */
  public String issue() {
    String text = new IssuedKey(incarnation, monotonicMillis(), sequence.incrementAndGet()).text();
    return text + '.' + signature(text);
  }

  /**
   * Returns the content of a key that an instance of this system issued, or empty for any other
   * text.
   */
  public Optional<IssuedKey> parse(String key) {
    String[] parts = key.split("\\.", -1);
    if (parts.length != PART_COUNT || !parts[0].equals(PREFIX)) {
      return Optional.empty();
    }
    try {
      IssuedKey issued =
          new IssuedKey(parts[1], Long.parseLong(parts[2], RADIX), Long.parseLong(parts[3], RADIX));
      boolean genuine =
          java.security.MessageDigest.isEqual(
              signature(issued.text()).getBytes(java.nio.charset.StandardCharsets.US_ASCII),
              parts[4].getBytes(java.nio.charset.StandardCharsets.US_ASCII));
      return genuine ? Optional.of(issued) : Optional.empty();
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  /** Returns whether a key of this incarnation is older than the retention of outcomes. */
  public boolean expired(IssuedKey key, long retentionSeconds) {
    // Uses the monotonic clock: a wall clock that is set back would make a key valid again whose
    // outcome was already removed.
    return monotonicMillis() - key.issuedMillis() >= TimeUnit.SECONDS.toMillis(retentionSeconds);
  }

  private long monotonicMillis() {
    return TimeUnit.NANOSECONDS.toMillis(clocks.nanos() - startNanos);
  }

  private String signature(String text) {
    return HexFormat.of().formatHex(Arrays.copyOf(secret.sign(text), SIGNATURE_BYTES));
  }
}
