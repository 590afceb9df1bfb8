package org.magnoliaswitch.operator;

/** Thrown when a command cannot do its work; the message is printed as it is. */
public final class OperatorException extends Exception {
  private final int exitCode;

  public OperatorException(int exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  /** Exit code of the process: 1 for failures, 2 for unusable arguments. */
  public int exitCode() {
    return exitCode;
  }
}
