package org.magnoliaswitch.core.peer;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One authenticated connection between two instances.
 *
 * <p>The accepting side sends a random challenge; the connecting side answers with the signature of
 * the challenge by the shared secret. Nothing else is read until that signature has been verified.
 */
final class PeerConnection implements AutoCloseable {
  private static final int MAX_HANDSHAKE_BYTES = 64;

  private final Socket socket;
  private final DataInputStream in;
  private final DataOutputStream out;
  private final AtomicLong bytes;

  PeerConnection(Socket socket, AtomicLong bytes) throws IOException {
    this(socket, bytes, new BufferedInputStream(socket.getInputStream(), 2048));
  }

  private PeerConnection(Socket socket, AtomicLong bytes, InputStream in) throws IOException {
    this.socket = socket;
    this.bytes = bytes;
    socket.setTcpNoDelay(true);
    this.in = new DataInputStream(in);
    this.out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), 2048));
  }

  /** Creates a connection that reads nothing beyond the frame that it returns. */
  static PeerConnection unbuffered(Socket socket, AtomicLong bytes) throws IOException {
    return new PeerConnection(socket, bytes, socket.getInputStream());
  }

  /** Accepting side: sends a challenge and verifies the signature. */
  void authenticatePeer(String challenge, PeerSecret secret) throws IOException {
    writeHandshake(challenge.getBytes(StandardCharsets.US_ASCII));
    if (!secret.matches(challenge, readHandshake())) {
      throw new FrameException(FrameException.Reason.UNAUTHENTICATED, "a wrong signature");
    }
  }

  /** Connecting side: signs the challenge. */
  void answerChallenge(PeerSecret secret) throws IOException {
    String challenge = new String(readHandshake(), StandardCharsets.US_ASCII);
    writeHandshake(secret.sign(challenge));
  }

  void write(PeerMessage message) throws IOException {
    byte[] frame = FrameCodec.encode(message);
    bytes.addAndGet(frame.length + Integer.BYTES);
    FrameCodec.write(out, frame);
  }

  PeerMessage read() throws IOException {
    byte[] frame = FrameCodec.read(in);
    bytes.addAndGet(frame.length + Integer.BYTES);
    return FrameCodec.decode(frame);
  }

  void setReadTimeout(int millis) throws IOException {
    socket.setSoTimeout(millis);
  }

  /** What the other side has sent and no message was read from. */
  InputStream input() {
    return in;
  }

  /** Where bytes are written that belong to no message. */
  OutputStream output() throws IOException {
    return socket.getOutputStream();
  }

  /** Tells the other side that nothing more is sent. */
  void endOutput() throws IOException {
    socket.shutdownOutput();
  }

  /** Closes the connection so that the other side does not take it for a complete one. */
  void reset() {
    try {
      socket.setSoLinger(true, 0);
    } catch (SocketException e) {
      // The connection is closed already.
      return;
    }
    close();
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // The connection is abandoned, whether or not the socket could be closed.
      return;
    }
  }

  private void writeHandshake(byte[] text) throws IOException {
    bytes.addAndGet(text.length + 1L);
    out.writeByte(text.length);
    out.write(text);
    out.flush();
  }

  private byte[] readHandshake() throws IOException {
    int length = in.readUnsignedByte();
    if (length > MAX_HANDSHAKE_BYTES) {
      throw new FrameException(FrameException.Reason.OVERSIZE, "a handshake of " + length);
    }
    bytes.addAndGet(length + 1L);
    return in.readNBytes(length);
  }
}
