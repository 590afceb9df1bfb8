package org.magnoliaswitch.front.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import org.magnoliaswitch.front.testing.CorruptedMessages;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the messages between instances that open connections for each other. */
public final class RelayMessageTest {
  @DataProvider
  public static Object[][] messages() {
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 7_200);
    return new Object[][] {
      {new RelayMessage.Open("i-7f3a91c2", true)},
      {new RelayMessage.Open("i-7f3a91c2", false)},
      {new RelayMessage.Opened(RelayMessage.Status.OPENED, true)},
      {new RelayMessage.Opened(RelayMessage.Status.UNAVAILABLE, false)},
      {new RelayMessage.Join(address)},
      {new RelayMessage.Known(List.of(address, new InetSocketAddress("10.0.0.1", 1)))},
    };
  }

  @Test(dataProvider = "messages")
  public void decodedMessageEqualsTheEncodedOne(RelayMessage message) throws IOException {
    assertEquals(RelayMessage.decode(message.encode()), message);
  }

  /** Guards against refusing the messages of an earlier release, which end before the signals. */
  @Test
  public void messagesOfEarlierReleasesAreUnderstood() throws IOException {
    byte[] open = {1, 0, (byte) 0xa3, 'i', '-', '1'};
    assertEquals(RelayMessage.decode(open), new RelayMessage.Open("i-1", false));
    byte[] opened = {1, 1, 0};
    assertEquals(
        RelayMessage.decode(opened), new RelayMessage.Opened(RelayMessage.Status.OPENED, false));
  }

  /** Guards against an error other than the declared one, which would leave a connection open. */
  @Test(dataProvider = "messages")
  public void damagedMessagesAreRefused(RelayMessage message) {
    CorruptedMessages.assertDecodedOrRejected(message.encode(), 7, RelayMessage::decode);
  }

  /** Guards against allocating what a frame claims and does not contain. */
  @Test
  public void lengthsBeyondTheLimitsAreRefused() {
    byte[] claimsTwoGigabytes = {1, 0, (byte) 0xdb, 0x7f, -1, -1, -1};
    expectThrows(IOException.class, () -> RelayMessage.decode(claimsTwoGigabytes));
    byte[] claimsManyRelays = {1, 3, (byte) 0xdd, 0x7f, -1, -1, -1};
    expectThrows(IOException.class, () -> RelayMessage.decode(claimsManyRelays));
  }
}
