package org.magnoliaswitch.core.process;

/**
 * State that the control plane keeps in memory for the lifetime of the process.
 *
 * @param membership known instances
 * @param leaving backend servers that are leaving
 * @param version configuration in force
 * @param timeline recent events
 * @param refusedResponses responses that were not passed on
 * @param crashes reports of requests during which servers crash
 * @param contact time of the last contact with peers or the platform
 */
public record ControlState(
    Membership membership,
    LeavingServers leaving,
    CurrentVersion version,
    Timeline timeline,
    RefusedResponses refusedResponses,
    CrashWatch crashes,
    LastContact contact) {}
