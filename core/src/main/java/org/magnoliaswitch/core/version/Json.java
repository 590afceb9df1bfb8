package org.magnoliaswitch.core.version;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

/** The JSON mapper of declarations, settings and platform rows: strict, with sorted map keys. */
public final class Json {
  /** Rejects unknown, missing and mistyped properties; writes map entries sorted by key. */
  public static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
          .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
          .build();

  private Json() {}
}
