package org.magnoliaswitch.core.process;

/** Version of the programs. */
public final class Version {
  /** As {@code --version} prints it. */
  public static final String TEXT = "0.1.0";

  private Version() {}
}
