package org.magnoliaswitch.front.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import org.testng.annotations.Test;

/** Tests how much memory bodies hold while they are received, and that it is reserved. */
public final class BodyBufferTest {
  private static final int MEGABYTE = 1 << 20;
  private static final int PART_BYTES = 8 << 10;

  private static boolean append(BodyBuffer body, int count) {
    for (int left = count; left > 0; left -= PART_BYTES) {
      if (!body.append(Unpooled.wrappedBuffer(new byte[Math.min(left, PART_BYTES)]))) {
        return false;
      }
    }
    return true;
  }

  /** Bodies whose length is known. */
  public static final class KnownLength {
    /** Guards against a body that holds several times its length while it grows. */
    @Test
    public void bodyHoldsItsLengthOnly() {
      BodyMemory memory = new BodyMemory(32 * MEGABYTE);
      BodyBuffer body = new BodyBuffer(memory);
      assertTrue(body.expect(20 * MEGABYTE));
      assertTrue(append(body, 20 * MEGABYTE));
      assertTrue(body.trim());
      byte[] complete = body.take();
      assertEquals(complete.length, 20 * MEGABYTE);
      assertEquals(memory.reservedBytes(), 20 * MEGABYTE);
      body.discard();
      assertEquals(memory.reservedBytes(), 20 * MEGABYTE);
    }

    /** Guards against receiving most of a body that cannot be held. */
    @Test
    public void bodyThatCannotBeHeldIsRefusedBeforeItIsRead() {
      BodyBuffer first = new BodyBuffer(new BodyMemory(32 * MEGABYTE));
      assertFalse(first.expect(40 * MEGABYTE));
    }

    /** Guards against large bodies that make all small requests be rejected. */
    @Test
    public void largeBodiesLeaveMemoryForSmallOnes() {
      BodyMemory memory = new BodyMemory(32 * MEGABYTE);
      assertTrue(new BodyBuffer(memory).expect(31 * MEGABYTE));
      assertFalse(new BodyBuffer(memory).expect(MEGABYTE / 2));
      assertTrue(new BodyBuffer(memory).expect(300));
    }
  }

  /** Bodies that are sent in chunks. */
  public static final class UnknownLength {
    /** Guards against buffers whose capacity is larger than what is reserved. */
    @Test
    public void capacityIsReservedIncludingTheCopyWhileItGrows() {
      BodyMemory memory = new BodyMemory(32 * MEGABYTE);
      BodyBuffer body = new BodyBuffer(memory);
      assertTrue(body.expect(0));
      assertTrue(append(body, 5 * MEGABYTE));
      assertTrue(memory.reservedBytes() >= 5 * MEGABYTE, "reserved " + memory.reservedBytes());
      assertTrue(body.trim());
      assertEquals(body.take().length, 5 * MEGABYTE);
      assertEquals(memory.reservedBytes(), 5 * MEGABYTE);
    }

    /** Guards against memory that stays reserved, or is used, after a body was refused. */
    @Test
    public void bodyThatOutgrowsTheMemoryIsRefused() {
      BodyMemory memory = new BodyMemory(32 * MEGABYTE);
      BodyBuffer body = new BodyBuffer(memory);
      assertTrue(body.expect(0));
      assertFalse(append(body, 31 * MEGABYTE));
      assertTrue(memory.reservedBytes() <= 32 * MEGABYTE);
      body.discard();
      assertEquals(memory.reservedBytes(), 0);
    }
  }
}
