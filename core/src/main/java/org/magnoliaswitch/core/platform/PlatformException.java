package org.magnoliaswitch.core.platform;

/** Thrown when the platform gives no usable answer to a call. */
public final class PlatformException extends Exception {
  public PlatformException(String message, Throwable cause) {
    super(message, cause);
  }

  public PlatformException(String message) {
    super(message);
  }
}
