package org.magnoliaswitch.core.version;

import java.util.List;

/** Thrown when declarations or settings are invalid; contains every problem found. */
public final class InvalidDeclarationException extends Exception {
  private final List<Problem> problems;

  public InvalidDeclarationException(List<Problem> problems) {
    super(problems.stream().map(Problem::toString).reduce((a, b) -> a + "\n" + b).orElse(""));
    this.problems = List.copyOf(problems);
  }

  /** Returns every problem found, in the order of the files. */
  public List<Problem> problems() {
    return problems;
  }
}
