package org.magnoliaswitch.bench;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.HashMap;
import java.util.Map;

/** Compares the outcomes reported to callers with the executions of the stand-ins. */
final class TruthCheck {
  private TruthCheck() {}

  static LoadResult.Truth check(Recorder recorder, URI standinControl) throws IOException {
    Map<String, Integer> executions = parse(fetch(standinControl.resolve("/executions")));
    long executedTwice = 0;
    long toldNotExecutedButRan = 0;
    long toldExecutedButNot = 0;
    for (Map.Entry<String, Verdict> operation : recorder.byOperation().entrySet()) {
      int count = executions.getOrDefault(operation.getKey(), 0);
      executedTwice += count > 1 ? 1 : 0;
      toldNotExecutedButRan += operation.getValue() == Verdict.NOT_EXECUTED && count > 0 ? 1 : 0;
      toldExecutedButNot += operation.getValue() == Verdict.EXECUTED && count == 0 ? 1 : 0;
    }
    return new LoadResult.Truth(executedTwice, toldNotExecutedButRan, toldExecutedButNot);
  }

  private static Map<String, Integer> parse(String lines) {
    Map<String, Integer> executions = new HashMap<>();
    lines
        .lines()
        .forEach(
            line -> {
              int space = line.lastIndexOf(' ');
              executions.put(line.substring(0, space), Integer.valueOf(line.substring(space + 1)));
            });
    return executions;
  }

  private static String fetch(URI uri) throws IOException {
    try (HttpClient client = HttpClient.newHttpClient()) {
      return client
          .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
          .body();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }
}
