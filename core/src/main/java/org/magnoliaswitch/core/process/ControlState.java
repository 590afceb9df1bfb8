package org.magnoliaswitch.core.process;

/**
 * What control keeps in memory for the life of the process.
 *
 * @param membership instances known
 * @param leaving backend servers noticed to leave
 * @param version configuration in force
 * @param timeline recent events
 * @param crashes requests under which servers end
 * @param contact when peers or the platform were heard last
 */
public record ControlState(
    Membership membership,
    LeavingServers leaving,
    CurrentVersion version,
    Timeline timeline,
    CrashWatch crashes,
    LastContact contact) {}
