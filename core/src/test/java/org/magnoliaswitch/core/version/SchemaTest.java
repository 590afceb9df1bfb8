package org.magnoliaswitch.core.version;

import static org.testng.Assert.assertEquals;

import com.github.victools.jsonschema.generator.Option;
import com.github.victools.jsonschema.generator.OptionPreset;
import com.github.victools.jsonschema.generator.SchemaGenerator;
import com.github.victools.jsonschema.generator.SchemaGeneratorConfigBuilder;
import com.github.victools.jsonschema.generator.SchemaVersion;
import com.github.victools.jsonschema.module.jackson.JacksonModule;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that the committed JSON Schemas, which editors use, match the records. */
public final class SchemaTest {
  /**
   * System property; {@code true} rewrites the schemas, which is needed after a change of the
   * records.
   */
  private static final String REWRITE = "magnolia.rewriteSchemas";

  @DataProvider
  public static Object[][] types() {
    return new Object[][] {{Profile.class, "profile"}, {Service.class, "service"}};
  }

  @Test(dataProvider = "types")
  public void committedSchemaIsUpToDate(Class<?> type, String name) throws IOException {
    Path file = Path.of("..", "docs", "schema", name + ".schema.json");
    String generated = generate(type);
    if (Boolean.getBoolean(REWRITE)) {
      Files.createDirectories(file.getParent());
      Files.writeString(file, generated);
    }
    assertEquals(Files.readString(file), generated);
  }

  private static String generate(Class<?> type) {
    SchemaGeneratorConfigBuilder builder =
        new SchemaGeneratorConfigBuilder(SchemaVersion.DRAFT_2020_12, OptionPreset.PLAIN_JSON)
            .with(new JacksonModule())
            .with(Option.FORBIDDEN_ADDITIONAL_PROPERTIES_BY_DEFAULT);
    builder.forFields().withRequiredCheck(field -> true);
    return new SchemaGenerator(builder.build()).generateSchema(type).toPrettyString() + "\n";
  }
}
