package org.magnoliaswitch.core.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests valid and invalid frames between instances. */
public final class PeerProtocolTest {
  private static final PeerSecret SECRET = secret("0123456789abcdef");
  private static final Member MEMBER =
      new Member("i", "entry-1", "dc-1", "127.0.0.1", 1, 2, 3, 9, MemberState.LEAVING);

  private PeerTraffic traffic = new PeerTraffic();
  private PeerServer server = start(traffic);

  @BeforeMethod
  public void setUp() {
    server.close();
    traffic = new PeerTraffic();
    server = start(traffic);
  }

  @AfterMethod(alwaysRun = true)
  public void tearDown() {
    server.close();
  }

  @DataProvider
  public static Object[][] messages() {
    return new Object[][] {
      {
        new PeerMessage.Gossip(
            new GossipDigest(
                5,
                6,
                7,
                "d",
                List.of(MEMBER),
                List.of(new LeavingNotice("s", LeavingNotice.Source.LIST, 8, true))))
      },
      {new PeerMessage.FetchContent(List.of("a", "b"))},
      {new PeerMessage.ClaimKeys(List.of(new Claim("k", "i", "f", 0, 60)), 5, 100)},
      {
        new PeerMessage.ClaimResults(List.of(new ClaimResult(ClaimResult.Status.HELD, "h", "f", 1)))
      },
      {new PeerMessage.Unsupported("why")},
    };
  }

  @Test(dataProvider = "messages")
  public void messagesSurviveEncoding(PeerMessage message) throws FrameException {
    assertEquals(FrameCodec.decode(FrameCodec.encode(message)), message);
  }

  @Test
  public void contentSurvivesEncoding() throws FrameException {
    byte[] content = {1, 2, 3};
    PeerMessage.Content decoded =
        (PeerMessage.Content)
            FrameCodec.decode(FrameCodec.encode(new PeerMessage.Content(Map.of("d", content))));
    assertEquals(decoded.byDigest().get("d"), content);
  }

  @Test
  public void aCallReceivesItsReply() throws IOException {
    try (PeerClient client = new PeerClient(SECRET, new PeerTraffic())) {
      assertEquals(
          client.call(address(), new PeerMessage.Unsupported("x"), 2_000),
          new PeerMessage.Unsupported("x"));
    }
  }

  @Test
  public void aWrongSecretIsRejectedAndCounted() throws IOException {
    try (PeerClient client = new PeerClient(secret("another-secret-x"), new PeerTraffic())) {
      assertThrows(
          IOException.class, () -> client.call(address(), new PeerMessage.Unsupported("x"), 2_000));
    }
    awaitRejected(1);
  }

  @Test
  public void anOversizeFrameIsRejectedBeforeItIsRead() throws IOException {
    try (Socket socket = connectAuthenticated()) {
      new DataOutputStream(socket.getOutputStream()).writeInt(FrameCodec.MAX_FRAME_BYTES + 1);
      assertEquals(socket.getInputStream().read(), -1);
    }
    awaitRejected(1);
  }

  /** Invalid bytes close their connection only; other connections are still served. */
  @Test
  public void randomBytesCloseOnlyTheirConnection() throws IOException {
    SplittableRandom random = new SplittableRandom(11);
    for (int i = 0; i < 300; i++) {
      byte[] garbage = new byte[1 + random.nextInt(60)];
      random.nextBytes(garbage);
      try (Socket socket = connectAuthenticated()) {
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        FrameCodec.write(out, garbage);
        socket.shutdownOutput();
        socket.getInputStream().readAllBytes();
      } catch (java.net.SocketException e) {
        // The server closed the connection with unread bytes, which resets it.
      }
    }
    assertTrue(traffic.rejected().get() > 200, "rejected connections: " + traffic.rejected().get());
    aCallReceivesItsReply();
  }

  private void awaitRejected(long count) {
    while (traffic.rejected().get() < count) {
      Thread.onSpinWait();
    }
  }

  private Socket connectAuthenticated() throws IOException {
    Socket socket = new Socket(java.net.InetAddress.getLoopbackAddress(), server.port());
    socket.setSoTimeout(5_000);
    DataInputStream in = new DataInputStream(socket.getInputStream());
    String challenge = new String(in.readNBytes(in.readUnsignedByte()), StandardCharsets.US_ASCII);
    byte[] signature = SECRET.sign(challenge);
    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    out.writeByte(signature.length);
    out.write(signature);
    out.flush();
    return socket;
  }

  private Address address() {
    return new Address("127.0.0.1", server.port());
  }

  private static PeerServer start(PeerTraffic traffic) {
    try {
      return new PeerServer(new Address("127.0.0.1", 0), SECRET, request -> request, traffic);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static PeerSecret secret(String text) {
    return new PeerSecret(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** Each row: a frame that claims a length or a number of elements which it does not contain. */
  @DataProvider
  public Object[][] damagedLengths() {
    int[][] headers = {
      {0xc6, 0x7f, 0xff, 0xff, 0xff},
      {0xdb, 0x7f, 0xff, 0xff, 0xff},
      {0xc9, 0x7f, 0xff, 0xff, 0xff, 0x05},
      {0xdd, 0x7f, 0xff, 0xff, 0xff},
      {0xdf, 0x7f, 0xff, 0xff, 0xff},
    };
    List<Object[]> rows = new ArrayList<>();
    for (int[] header : headers) {
      rows.add(new Object[] {bytes(header)});
      rows.add(new Object[] {bytes(new int[] {0x81, 0xa1, 'x'}, header)});
    }
    return rows.toArray(Object[][]::new);
  }

  private static byte[] bytes(int[]... parts) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int[] part : parts) {
      for (int value : part) {
        bytes.write(value);
      }
    }
    return bytes.toByteArray();
  }

  /** Guards against an instance that runs out of memory for the length that a frame claims. */
  @Test(dataProvider = "damagedLengths")
  public void lengthBeyondTheFrameIsRefusedWithoutAllocation(byte[] frame) {
    FrameException refused = expectThrows(FrameException.class, () -> FrameCodec.decode(frame));
    assertEquals(refused.reason(), FrameException.Reason.MALFORMED);
  }
}
