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
 * Encodes reports of requests that crash servers as MessagePack, and decodes them. Each report has
 * a frame of its own, so that a kind which a later release adds is skipped.
 */
public final class CrashReportCodec {
  private static final int CRASHED = 1;
  private static final int CLEARED = 2;
  private static final int TRIAL_STARTED = 3;

  /** Maximum number of reports per message; a longer list is not a valid message. */
  private static final int MAX_REPORTS = 16 << 10;

  /** More servers than one crash case can name; a longer set is not a valid message. */
  private static final int MAX_SERVERS = 64;

  /**
   * More bytes than a report with the maximum number of servers needs; no memory is allocated for a
   * longer report.
   */
  private static final int MAX_REPORT_BYTES = 32 << 10;

  /** Maximum length of an incarnation's name in characters. */
  private static final int MAX_NAME_LENGTH = 256;

  private CrashReportCodec() {}

  /** Encodes reports as a separate message. */
  public static byte[] encode(List<CrashReport> reports) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      write(out, reports);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode crash reports", e);
    }
  }

  /** Decodes a message of reports; throws an {@link IOException} if the message is malformed. */
  public static List<CrashReport> decode(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      return read(in);
    } catch (MessagePackException | IllegalArgumentException e) {
      throw new IOException("malformed reports", e);
    }
  }

  /** Writes reports as a part of a larger message. */
  public static void write(MessagePacker out, List<CrashReport> reports) throws IOException {
    out.packArrayHeader(reports.size());
    for (CrashReport report : reports) {
      byte[] framed = encodeReport(report);
      out.packBinaryHeader(framed.length);
      out.writePayload(framed);
    }
  }

  /** Reads reports that are a part of a larger message. */
  public static List<CrashReport> read(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    if (count > MAX_REPORTS) {
      throw new IOException(count + " reports are too many");
    }
    List<CrashReport> reports = new ArrayList<>();
    for (int remaining = count; remaining > 0; remaining--) {
      int length = in.unpackBinaryHeader();
      if (length > MAX_REPORT_BYTES) {
        throw new IOException("a report of " + length + " bytes is too long");
      }
      byte[] framed = in.readPayload(length);
      try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(framed)) {
        readReport(unpacker).ifPresent(reports::add);
      }
    }
    return reports;
  }

  private static byte[] encodeReport(CrashReport report) throws IOException {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      switch (report) {
        case CrashReport.Crashed crashed -> {
          writeHeader(out, CRASHED, crashed.request());
          out.packString(crashed.server());
          out.packBoolean(crashed.warned());
        }
        case CrashReport.Cleared cleared -> {
          writeHeader(out, CLEARED, cleared.request());
          out.packArrayHeader(cleared.servers().size());
          for (String server : cleared.servers()) {
            out.packString(server);
          }
          out.packInt(cleared.trials());
        }
        case CrashReport.TrialStarted trialStarted -> {
          writeHeader(out, TRIAL_STARTED, trialStarted.request());
          out.packInt(trialStarted.trialNumber());
        }
      }
      return out.toByteArray();
    }
  }

  private static void writeHeader(MessagePacker out, int kind, RequestIdentity request)
      throws IOException {
    out.packInt(kind);
    out.packLong(request.high());
    out.packLong(request.low());
  }

  private static Optional<CrashReport> readReport(MessageUnpacker in) throws IOException {
    int kind = in.unpackInt();
    RequestIdentity request = new RequestIdentity(in.unpackLong(), in.unpackLong());
    return switch (kind) {
      case CRASHED ->
          Optional.of(new CrashReport.Crashed(request, readName(in), in.unpackBoolean()));
      case CLEARED -> Optional.of(new CrashReport.Cleared(request, readNames(in), in.unpackInt()));
      case TRIAL_STARTED -> Optional.of(new CrashReport.TrialStarted(request, in.unpackInt()));
      default -> Optional.empty();
    };
  }

  private static Set<String> readNames(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    if (count > MAX_SERVERS) {
      throw new IOException(count + " servers are too many");
    }
    Set<String> names = new HashSet<>();
    for (int remaining = count; remaining > 0; remaining--) {
      names.add(readName(in));
    }
    return names;
  }

  private static String readName(MessageUnpacker in) throws IOException {
    String name = in.unpackString();
    if (name.length() > MAX_NAME_LENGTH) {
      throw new IOException("a name of " + name.length() + " characters is too long");
    }
    return name;
  }
}
