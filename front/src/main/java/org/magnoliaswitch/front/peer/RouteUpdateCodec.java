package org.magnoliaswitch.front.peer;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.magnoliaswitch.front.version.RouteChanges;
import org.magnoliaswitch.front.version.RouteTable;
import org.magnoliaswitch.front.version.RouteUpdate;
import org.magnoliaswitch.front.version.Team;
import org.magnoliaswitch.front.version.TeamChanges;
import org.magnoliaswitch.front.version.TeamTable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes {@link RouteUpdate}; large updates are compressed. */
final class RouteUpdateCodec {
  private static final int NONE = 0;
  private static final int FULL = 1;
  private static final int CHANGES = 2;

  /**
   * Kinds of updates that involve teams. An earlier release treats them as absent: it could not
   * read the teams, and would serve requests without checking their keys.
   */
  private static final int FULL_WITH_TEAMS = 3;

  private static final int CHANGES_WITH_TEAMS = 4;

  /** Shorter updates fit into one or two packets without compression. */
  private static final int COMPRESSED_FROM_BYTES = 2 << 10;

  private RouteUpdateCodec() {}

  /** Encodes an update or its absence. */
  static byte[] encode(Optional<RouteUpdate> update) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(update.map(RouteUpdateCodec::kind).orElse(NONE));
      if (update.isPresent()) {
        byte[] body = body(update.get());
        boolean compressed = body.length >= COMPRESSED_FROM_BYTES;
        byte[] sent = compressed ? Compression.compress(body) : body;
        out.packBoolean(compressed);
        out.packBinaryHeader(sent.length);
        out.writePayload(sent);
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode the route update", e);
    }
  }

  /**
   * Reads an update or its absence. An unknown kind, from a later release, counts as absent, and so
   * does an update of an earlier release, which may come from a configuration with teams.
   */
  static Optional<RouteUpdate> read(MessageUnpacker in) throws IOException {
    int kind = in.unpackInt();
    if (kind == NONE) {
      return Optional.empty();
    }
    boolean compressed = in.unpackBoolean();
    int length = in.unpackBinaryHeader();
    if (length > Compression.MAX_BYTES) {
      throw new IOException("route update of " + length + " bytes exceeds the size limit");
    }
    byte[] sent = in.readPayload(length);
    try (MessageUnpacker body =
        MessagePack.newDefaultUnpacker(compressed ? Compression.decompress(sent) : sent)) {
      return switch (kind) {
        case FULL, FULL_WITH_TEAMS -> readFull(body);
        case CHANGES, CHANGES_WITH_TEAMS -> readChanges(body);
        default -> Optional.empty();
      };
    }
  }

  private static int kind(RouteUpdate update) {
    return switch (update) {
      case RouteUpdate.Full full -> full.table().teams().isEmpty() ? FULL : FULL_WITH_TEAMS;
      case RouteUpdate.Changes changes ->
          changes.changes().teams().involvesTeams() ? CHANGES_WITH_TEAMS : CHANGES;
    };
  }

  private static byte[] body(RouteUpdate update) throws IOException {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      switch (update) {
        case RouteUpdate.Full full -> writeFull(out, full.table());
        case RouteUpdate.Changes changes -> writeChanges(out, changes.changes());
      }
      return out.toByteArray();
    }
  }

  private static void writeFull(MessagePacker out, RouteTable table) throws IOException {
    writeTable(out, table);
    List<Team> teams = List.copyOf(table.teams().teams());
    TeamTableCodec.write(out, new TeamChanges(teams, Set.of(), !teams.isEmpty()), table.routes());
  }

  private static Optional<RouteUpdate> readFull(MessageUnpacker in) throws IOException {
    RouteTable table = readTable(in);
    if (!in.hasNext()) {
      return Optional.empty();
    }
    TeamTableCodec.Decoded decoded = TeamTableCodec.read(in);
    return Optional.of(
        new RouteUpdate.Full(
            new RouteTable(
                table.version(),
                decoded.apply(table.routes()),
                table.services(),
                table.limits(),
                new TeamTable(decoded.teams().changed()))));
  }

  private static void writeTable(MessagePacker out, RouteTable table) throws IOException {
    RouteTableCodec.write(out, table);
    RouteExtensionsCodec.write(out, table);
  }

  private static RouteTable readTable(MessageUnpacker in) throws IOException {
    return RouteExtensionsCodec.read(in, RouteTableCodec.read(in));
  }

  /** Writes the changed routes, services and limits in the format of a full configuration. */
  private static void writeChanges(MessagePacker out, RouteChanges changes) throws IOException {
    out.packLong(changes.base());
    out.packArrayHeader(changes.removed().size());
    for (String name : changes.removed()) {
      out.packString(name);
    }
    writeTable(
        out,
        new RouteTable(changes.version(), changes.changed(), changes.services(), changes.limits()));
    TeamTableCodec.write(out, changes.teams(), changes.changed());
  }

  private static Optional<RouteUpdate> readChanges(MessageUnpacker in) throws IOException {
    long base = in.unpackLong();
    Set<String> removed = new HashSet<>();
    for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
      removed.add(in.unpackString());
    }
    RouteTable changed = readTable(in);
    if (!in.hasNext()) {
      return Optional.empty();
    }
    TeamTableCodec.Decoded decoded = TeamTableCodec.read(in);
    return Optional.of(
        new RouteUpdate.Changes(
            new RouteChanges(
                base,
                changed.version(),
                decoded.apply(changed.routes()),
                removed,
                List.copyOf(changed.services()),
                changed.limits(),
                decoded.teams())));
  }
}
