package org.magnoliaswitch.core.version;

import java.util.ArrayList;
import java.util.List;

/** Checks values of one document and collects every rule that they violate. */
public final class Validator {
  private final String file;
  private final List<Problem> problems = new ArrayList<>();

  public Validator(String file) {
    this.file = file;
  }

  /** Adds a problem if the number is NaN or lies outside the closed range. */
  public void requireRange(String path, double value, double min, double max) {
    if (!(value >= min && value <= max)) {
      add(path, String.valueOf(value), "expected a number from " + min + " to " + max);
    }
  }

  /** Adds a problem if the whole string does not match the regular expression. */
  public void requireMatch(String path, String value, String pattern) {
    if (!value.matches(pattern)) {
      add(path, '"' + value + '"', "expected a value that matches " + pattern);
    }
  }

  /** Adds a problem if the condition is false. */
  public void require(boolean condition, String path, String found, String allowed) {
    if (!condition) {
      add(path, found, allowed);
    }
  }

  /** Adds a problem at the given JSON path. */
  public void add(String path, String found, String allowed) {
    problems.add(new Problem(file + ": " + path, found, allowed));
  }

  /** Returns the problems found so far, in the order of the checks. */
  public List<Problem> problems() {
    return problems;
  }
}
