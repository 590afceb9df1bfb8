package org.magnoliaswitch.entry;

import jakarta.ws.rs.container.ContainerRequestContext;
import jakarta.ws.rs.container.ContainerRequestFilter;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.Response;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Set;

/** Lets only operators with the bearer token through, but for health, readiness and metrics. */
final class BearerFilter implements ContainerRequestFilter {
  private static final Set<String> OPEN_PATHS = Set.of("health", "ready", "metrics");

  private final byte[] expected;

  BearerFilter(String token) {
    this.expected = ("Bearer " + token).getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public void filter(ContainerRequestContext context) {
    if (OPEN_PATHS.contains(context.getUriInfo().getPath())) {
      return;
    }
    String given = context.getHeaderString(HttpHeaders.AUTHORIZATION);
    boolean right =
        given != null && MessageDigest.isEqual(given.getBytes(StandardCharsets.UTF_8), expected);
    if (!right) {
      context.abortWith(
          Response.status(Response.Status.UNAUTHORIZED)
              .header(HttpHeaders.WWW_AUTHENTICATE, "Bearer")
              .entity("a bearer token is needed\n")
              .build());
    }
  }
}
