package org.magnoliaswitch.core.peer;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * News that a backend server leaves and must get no new work.
 *
 * @param server id of the server
 * @param atMillis when it was first noticed
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LeavingMark(String server, long atMillis) {}
