package org.magnoliaswitch.core.request;

/**
 * The faults in a case of the model check of at-most-once execution.
 *
 * @param claimFaults whether transactions are dropped, take effect late or lose their answers
 * @param kills whether an instance is killed while it serves requests
 * @param stops whether an instance stops gracefully
 * @param answersLost whether answers of backend servers are lost after execution
 * @param restores whether the platform is restored from copies that lack the last steps
 */
record ModelFaults(
    boolean claimFaults, boolean kills, boolean stops, boolean answersLost, boolean restores) {}
