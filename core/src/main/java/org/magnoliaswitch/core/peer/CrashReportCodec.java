package org.magnoliaswitch.core.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.magnoliaswitch.core.crash.CrashReport;
import org.magnoliaswitch.core.crash.RequestIdentity;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Writes and reads reports of requests under which servers end, as MessagePack. Each report is
 * framed by itself, so that one of a kind that a later release adds is passed over.
 */
public final class CrashReportCodec {
  private static final int ENDED = 1;
  private static final int CLEARED = 2;
  private static final int TRIED = 3;

  /** More than a full table of cases makes; a longer list is no message of ours. */
  private static final int MAX_REPORTS = 16 << 10;

  /** More than one case can name; a longer set is no message of ours. */
  private static final int MAX_SERVERS = 64;

  /** More than such names take; a longer report must not be given memory. */
  private static final int MAX_REPORT_BYTES = 32 << 10;

  /** Most characters of an incarnation's name. */
  private static final int MAX_NAME_LENGTH = 256;

  private CrashReportCodec() {}

  /** Encodes reports as a message of their own. */
  public static byte[] encode(List<CrashReport> reports) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      write(out, reports);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory does not fail", e);
    }
  }

  /** Decodes a message of reports; anything malformed is an {@link IOException}. */
  public static List<CrashReport> decode(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      return read(in);
    } catch (MessagePackException | IllegalArgumentException e) {
      throw new IOException("malformed reports", e);
    }
  }

  /** Writes reports as a part of a message. */
  public static void write(MessagePacker out, List<CrashReport> reports) throws IOException {
    out.packArrayHeader(reports.size());
    for (CrashReport report : reports) {
      byte[] framed = framed(report);
      out.packBinaryHeader(framed.length);
      out.writePayload(framed);
    }
  }

  /** Reads reports as a part of a message. */
  public static List<CrashReport> read(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    if (count > MAX_REPORTS) {
      throw new IOException(count + " reports are too many");
    }
    List<CrashReport> reports = new ArrayList<>();
    for (int left = count; left > 0; left--) {
      int length = in.unpackBinaryHeader();
      if (length > MAX_REPORT_BYTES) {
        throw new IOException("a report of " + length + " bytes is too long");
      }
      byte[] framed = in.readPayload(length);
      try (MessageUnpacker one = MessagePack.newDefaultUnpacker(framed)) {
        readOne(one).ifPresent(reports::add);
      }
    }
    return reports;
  }

  private static byte[] framed(CrashReport report) throws IOException {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      switch (report) {
        case CrashReport.Crashed ended -> {
          writeHead(out, ENDED, ended.request());
          out.packString(ended.server());
          out.packBoolean(ended.warned());
        }
        case CrashReport.Cleared cleared -> {
          writeHead(out, CLEARED, cleared.request());
          out.packArrayHeader(cleared.servers().size());
          for (String server : cleared.servers()) {
            out.packString(server);
          }
          out.packInt(cleared.trials());
        }
        case CrashReport.TrialStarted tried -> {
          writeHead(out, TRIED, tried.request());
          out.packInt(tried.trialNumber());
        }
      }
      return out.toByteArray();
    }
  }

  private static void writeHead(MessagePacker out, int kind, RequestIdentity request)
      throws IOException {
    out.packInt(kind);
    out.packLong(request.high());
    out.packLong(request.low());
  }

  private static Optional<CrashReport> readOne(MessageUnpacker in) throws IOException {
    int kind = in.unpackInt();
    RequestIdentity request = new RequestIdentity(in.unpackLong(), in.unpackLong());
    return switch (kind) {
      case ENDED -> Optional.of(new CrashReport.Crashed(request, name(in), in.unpackBoolean()));
      case CLEARED -> Optional.of(new CrashReport.Cleared(request, names(in), in.unpackInt()));
      case TRIED -> Optional.of(new CrashReport.TrialStarted(request, in.unpackInt()));
      default -> Optional.empty();
    };
  }

  private static Set<String> names(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    if (count > MAX_SERVERS) {
      throw new IOException(count + " servers are too many");
    }
    Set<String> names = new HashSet<>();
    for (int left = count; left > 0; left--) {
      names.add(name(in));
    }
    return names;
  }

  private static String name(MessageUnpacker in) throws IOException {
    String name = in.unpackString();
    if (name.length() > MAX_NAME_LENGTH) {
      throw new IOException("a name of " + name.length() + " characters is too long");
    }
    return name;
  }
}
