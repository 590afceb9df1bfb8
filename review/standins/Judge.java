import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Judges a record by the rules TWICE and REFUSED. */
final class Judge {
  private static final Set<String> PROMISES = Set.of("408", "421", "429", "503");

  private Judge() {}

  /** Returns 1 if a rule was broken, 0 if they held; prints each breach. */
  static int judge(Path record) throws IOException {
    Map<String, List<String>> runs = new HashMap<>();
    Map<String, String> answers = new HashMap<>();
    int sent = 0;
    for (String line : Files.readAllLines(record)) {
      String[] parts = line.split(" ");
      switch (parts[1]) {
        case "sent" -> sent++;
        case "run" ->
            runs.computeIfAbsent(parts[2], id -> new ArrayList<>()).add(parts[3] + "@" + parts[0]);
        case "answer" -> answers.put(parts[2], parts[3] + " " + parts[4] + " at " + parts[0]);
        default -> {}
      }
    }
    int twice = 0;
    int refused = 0;
    for (Map.Entry<String, List<String>> run : runs.entrySet()) {
      String answer = answers.getOrDefault(run.getKey(), "none");
      if (run.getValue().size() > 1) {
        twice++;
        System.out.println("TWICE " + run.getKey() + " ran " + run.getValue() + "; answer " + answer);
      }
      if (PROMISES.contains(answer.split(" ")[0])) {
        refused++;
        System.out.println(
            "REFUSED " + run.getKey() + " ran " + run.getValue() + "; answer " + answer);
      }
    }
    long served = answers.values().stream().filter(a -> a.startsWith("200")).count();
    System.out.println(
        "sent " + sent + " answered_200 " + served + " twice " + twice + " refused " + refused);
    return twice + refused > 0 ? 1 : 0;
  }
}
