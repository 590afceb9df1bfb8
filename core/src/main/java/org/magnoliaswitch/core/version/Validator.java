package org.magnoliaswitch.core.version;

import java.util.ArrayList;
import java.util.List;

/** Collects problems while values are compared with what is allowed. */
public final class Validator {
  private final String file;
  private final List<Problem> problems = new ArrayList<>();

  public Validator(String file) {
    this.file = file;
  }

  /** Notes a problem when a number lies outside a closed range. */
  public void requireRange(String path, double value, double low, double high) {
    if (!(value >= low && value <= high)) {
      add(path, String.valueOf(value), "a number from " + low + " to " + high);
    }
  }

  /** Notes a problem when a text does not match a regular expression. */
  public void requireMatch(String path, String value, String pattern) {
    if (!value.matches(pattern)) {
      add(path, '"' + value + '"', "a text that matches " + pattern);
    }
  }

  /** Notes a problem when a condition does not hold. */
  public void require(boolean condition, String path, String found, String allowed) {
    if (!condition) {
      add(path, found, allowed);
    }
  }

  /** Notes a problem. */
  public void add(String path, String found, String allowed) {
    problems.add(new Problem(file + ": " + path, found, allowed));
  }

  /** What was noted so far. */
  public List<Problem> problems() {
    return problems;
  }
}
