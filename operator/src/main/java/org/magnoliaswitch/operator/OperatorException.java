package org.magnoliaswitch.operator;

/** Thrown when a command fails. The message is printed to the operator unchanged. */
public final class OperatorException extends Exception {
  private final int exitCode;

  public OperatorException(int exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  /** Returns the exit code of the process: 1 for a failure, 2 for invalid arguments. */
  public int exitCode() {
    return exitCode;
  }
}
