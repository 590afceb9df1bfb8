package org.magnoliaswitch.bench.report;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.magnoliaswitch.core.operator.VersionView;
import org.magnoliaswitch.core.version.Json;

/**
 * Extracts the declarations from the output of {@code magnoliactl show --output json} into files.
 */
final class DeclarationExtract {
  private DeclarationExtract() {}

  static void run(RunDirectory directory) throws IOException {
    VersionView view =
        Json.MAPPER.readValue(directory.file("show.json").toFile(), VersionView.class);
    for (Map.Entry<String, String> part : view.parts().entrySet()) {
      Path file = directory.file(part.getKey());
      Files.createDirectories(file.getParent());
      Files.writeString(file, part.getValue(), StandardCharsets.UTF_8);
    }
  }
}
