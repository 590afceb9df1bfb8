package org.magnoliaswitch.core.version;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/**
 * Flattens a JSON document into paths and leaf values. A path names a list item by its id,
 * otherwise by its name, otherwise by its index.
 */
final class JsonPaths {
  private JsonPaths() {}

  static Map<String, String> flatten(byte[] content) {
    Map<String, String> leaves = new TreeMap<>();
    try {
      walk("", Json.MAPPER.readTree(content), leaves);
    } catch (IOException e) {
      leaves.put("(text)", Digest.of(content));
    }
    return leaves;
  }

  private static void walk(String path, JsonNode node, Map<String, String> leaves) {
    if (node.isObject()) {
      node.properties()
          .forEach(
              field ->
                  walk(
                      path.isEmpty() ? field.getKey() : path + '.' + field.getKey(),
                      field.getValue(),
                      leaves));
    } else if (node.isArray()) {
      for (int i = 0; i < node.size(); i++) {
        walk(path + '[' + itemLabel(node.get(i), i) + ']', node.get(i), leaves);
      }
    } else {
      leaves.put(path, node.toString());
    }
  }

  private static String itemLabel(JsonNode item, int index) {
    if (item.hasNonNull("id")) {
      return item.get("id").asText();
    }
    return item.hasNonNull("name") ? item.get("name").asText() : String.valueOf(index);
  }
}
