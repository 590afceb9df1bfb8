package org.magnoliaswitch.core.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;

/** A message between entry instances; each request gets one reply on the same connection. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t", include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
  @JsonSubTypes.Type(value = PeerMessage.Gossip.class, name = "g"),
  @JsonSubTypes.Type(value = PeerMessage.FetchContent.class, name = "f"),
  @JsonSubTypes.Type(value = PeerMessage.Content.class, name = "c"),
  @JsonSubTypes.Type(value = PeerMessage.ClaimKeys.class, name = "k"),
  @JsonSubTypes.Type(value = PeerMessage.ClaimResults.class, name = "r"),
  @JsonSubTypes.Type(value = PeerMessage.Crashes.class, name = "s"),
  @JsonSubTypes.Type(value = PeerMessage.OpenServer.class, name = "o"),
  @JsonSubTypes.Type(value = PeerMessage.ServerOpened.class, name = "p"),
  @JsonSubTypes.Type(value = PeerMessage.Unsupported.class, name = "u")
})
public sealed interface PeerMessage {
  /** Summary of the sender's state; the reply is that of the receiver. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Gossip(GossipDigest digest) implements PeerMessage {}

  /** Requests content by digest. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record FetchContent(List<String> digests) implements PeerMessage {}

  /** Content by digest, without the content that the sender lacks. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Content(Map<String, byte[]> byDigest) implements PeerMessage {}

  /** Requests that the receiver claim keys for the sender in one of its grouped transactions. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ClaimKeys(List<Claim> claims, int windowMillis, int waitMillis) implements PeerMessage {}

  /** Results of claims, in the order of the claims. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ClaimResults(List<ClaimResult> results) implements PeerMessage {}

  /**
   * Reports of requests that crash servers; the reply contains all reports of the receiver.
   *
   * @param reports reports, encoded by {@link CrashReportCodec}
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Crashes(byte[] reports) implements PeerMessage {}

  /** Requests a connection to a backend server. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record OpenServer(String serverId) implements PeerMessage {}

  /**
   * Result of opening a connection to a backend server; after {@link Status#OPENED} the connection
   * carries the bytes that are exchanged with the server, and no more messages.
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ServerOpened(Status status) implements PeerMessage {
    /** Whether the connection is open, or why not. */
    public enum Status {
      OPENED,
      /** No process listens at the server's address. */
      REFUSED,
      /** The server did not accept the connection in time. */
      UNREACHABLE,
      /** The receiver opens no connection to this server at present. */
      UNAVAILABLE
    }
  }

  /** The receiver does not serve this request. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Unsupported(String reason) implements PeerMessage {}
}
