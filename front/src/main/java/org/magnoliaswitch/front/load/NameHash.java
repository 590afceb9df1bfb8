package org.magnoliaswitch.front.load;

/** Hashes two names to a well-mixed number, because names often differ in a single digit. */
final class NameHash {
  private NameHash() {}

  static long of(String first, String second) {
    long mixed = first.hashCode() * 0x9E3779B97F4A7C15L + second.hashCode();
    mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
    mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
    return mixed ^ (mixed >>> 32);
  }
}
