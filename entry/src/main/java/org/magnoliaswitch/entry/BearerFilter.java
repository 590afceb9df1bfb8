package org.magnoliaswitch.entry;

import jakarta.ws.rs.container.ContainerRequestContext;
import jakarta.ws.rs.container.ContainerRequestFilter;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.Response;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Set;

/** Requires the bearer token of operators on all paths except health, readiness and metrics. */
final class BearerFilter implements ContainerRequestFilter {
  private static final Set<String> PUBLIC_PATHS = Set.of("health", "ready", "metrics");

  private final byte[] expectedHeader;

  BearerFilter(String token) {
    this.expectedHeader = ("Bearer " + token).getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public void filter(ContainerRequestContext context) {
    if (PUBLIC_PATHS.contains(context.getUriInfo().getPath())) {
      return;
    }
    String authorization = context.getHeaderString(HttpHeaders.AUTHORIZATION);
    boolean authorized =
        authorization != null
            && MessageDigest.isEqual(
                authorization.getBytes(StandardCharsets.UTF_8), expectedHeader);
    if (!authorized) {
      context.abortWith(
          Response.status(Response.Status.UNAUTHORIZED)
              .header(HttpHeaders.WWW_AUTHENTICATE, "Bearer")
              .entity("a bearer token is needed\n")
              .build());
    }
  }
}
