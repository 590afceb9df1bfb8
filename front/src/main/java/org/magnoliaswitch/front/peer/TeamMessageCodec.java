package org.magnoliaswitch.front.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliaswitch.front.load.QuotaAllocator;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes {@link TeamReport} and {@link TeamNews} as MessagePack. */
final class TeamMessageCodec {
  private TeamMessageCodec() {}

  static byte[] encode(TeamNews news) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packLong(news.number());
      out.packLong(news.echoed());
      out.packLong(news.confirmationAgeMillis());
      out.packBoolean(news.states().isPresent());
      if (news.states().isPresent()) {
        writeNames(out, news.states().get().closed());
        writeNames(out, news.states().get().overDemand());
      }
      out.packArrayHeader(news.allowances().size());
      for (QuotaAllocator.Allowance allowance : news.allowances()) {
        out.packString(allowance.team());
        out.packLong(allowance.counted());
        out.packLong(allowance.granted());
      }
      out.packMapHeader(news.requestedTokens().size());
      for (Map.Entry<String, Double> requested : news.requestedTokens().entrySet()) {
        out.packString(requested.getKey());
        out.packDouble(requested.getValue());
      }
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode the team news", e);
    }
  }

  static TeamNews readNews(MessageUnpacker in) throws IOException {
    long number = in.unpackLong();
    long echoed = in.unpackLong();
    long age = in.unpackLong();
    Optional<TeamNews.States> states =
        in.unpackBoolean()
            ? Optional.of(new TeamNews.States(readNames(in), readNames(in)))
            : Optional.empty();
    List<QuotaAllocator.Allowance> allowances = new ArrayList<>();
    for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
      allowances.add(
          new QuotaAllocator.Allowance(in.unpackString(), in.unpackLong(), in.unpackLong()));
    }
    Map<String, Double> requested = new HashMap<>();
    for (int remaining = in.unpackMapHeader(); remaining > 0; remaining--) {
      requested.put(in.unpackString(), in.unpackDouble());
    }
    return new TeamNews(number, echoed, age, states, allowances, requested);
  }

  static void write(MessagePacker out, TeamReport report) throws IOException {
    out.packLong(report.sequence());
    out.packLong(report.lastNews());
    out.packArrayHeader(report.demands().size());
    for (TeamReport.Demand demand : report.demands()) {
      out.packString(demand.team());
      out.packInt(demand.admitted());
      out.packInt(demand.asked());
      out.packDouble(demand.tokens());
    }
  }

  static TeamReport readReport(MessageUnpacker in) throws IOException {
    long sequence = in.unpackLong();
    long lastNews = in.unpackLong();
    List<TeamReport.Demand> demands = new ArrayList<>();
    for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
      demands.add(
          new TeamReport.Demand(
              in.unpackString(), in.unpackInt(), in.unpackInt(), in.unpackDouble()));
    }
    return new TeamReport(sequence, lastNews, demands);
  }

  private static void writeNames(MessagePacker out, Collection<String> names) throws IOException {
    out.packArrayHeader(names.size());
    for (String name : names) {
      out.packString(name);
    }
  }

  private static Set<String> readNames(MessageUnpacker in) throws IOException {
    Set<String> names = new HashSet<>();
    for (int remaining = in.unpackArrayHeader(); remaining > 0; remaining--) {
      names.add(in.unpackString());
    }
    return names;
  }
}
