package org.magnoliaswitch.core.version;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import org.magnoliaswitch.core.testing.Declarations;
import org.testng.annotations.Test;

/** Tests of the differences that are shown to operators. */
public final class ConfigurationDiffTest {
  @Test
  public void namesServerByIdAndBothValues() {
    Service before = Declarations.service(8001, 8002);
    Service after =
        before.withServers(
            List.of(
                before.servers().get(0), before.servers().get(1).withState(ServerState.DRAINING)));
    assertEquals(
        ConfigurationDiff.lines(
            Map.of("services/booking.json", Declarations.json(before)),
            Map.of("services/booking.json", Declarations.json(after))),
        List.of("~ services/booking.json: servers[server-8002].state: \"ACTIVE\" -> \"DRAINING\""));
  }

  @Test
  public void namesAddedAndRemovedFiles() {
    byte[] content = "{}".getBytes(java.nio.charset.StandardCharsets.UTF_8);
    assertEquals(
        ConfigurationDiff.lines(
            Map.of("services/a.json", content), Map.of("services/b.json", content)),
        List.of("- services/a.json", "+ services/b.json"));
  }
}
