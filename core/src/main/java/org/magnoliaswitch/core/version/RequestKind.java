package org.magnoliaswitch.core.version;

/**
 * A kind of request; all requests of a kind are handled by the same rules.
 *
 * @param name name, unique within its profile
 * @param method HTTP method in upper case
 * @param pathPrefix path prefix, relative to the service's prefix; it matches whole path segments
 * @param execution how often such a request may be executed
 * @param harmWeight relative harm of failing such a request, above 0 and at most 100
 * @param deadlineMillis time limit for the complete answer if the caller does not set one
 */
public record RequestKind(
    String name,
    String method,
    String pathPrefix,
    Execution execution,
    double harmWeight,
    int deadlineMillis) {
  /** Returns whether this kind matches a request; {@code path} is relative to the service. */
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
