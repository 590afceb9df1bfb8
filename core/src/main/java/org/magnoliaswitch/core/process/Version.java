package org.magnoliaswitch.core.process;

/** Version of the programs. */
public final class Version {
  /** Version text that {@code --version} prints. */
  public static final String TEXT = "0.1.0";

  private Version() {}
}
