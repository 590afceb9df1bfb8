package org.magnoliaswitch.core.version;

/**
 * One kind of request that a profile treats alike.
 *
 * @param name unique within its profile
 * @param method HTTP method, upper case
 * @param pathPrefix path below the service's prefix, matched segment-wise from the left
 * @param execution how often it may be executed
 * @param harmWeight relative harm of failing one such request, above 0 and at most 100
 * @param deadlineMillis time to the whole answer when the caller names none
 */
public record RequestKind(
    String name,
    String method,
    String pathPrefix,
    Execution execution,
    double harmWeight,
    int deadlineMillis) {
  /** Tells whether this kind covers a request, {@code path} being relative to the service. */
  public boolean matches(String requestMethod, String path) {
    if (!method.equals(requestMethod) || !path.startsWith(pathPrefix)) {
      return false;
    }
    return path.length() == pathPrefix.length()
        || pathPrefix.endsWith("/")
        || path.charAt(pathPrefix.length()) == '/'
        || path.charAt(pathPrefix.length()) == '?';
  }
}
