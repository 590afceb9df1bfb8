package org.magnoliaswitch.core.version;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Parses the parts of a configuration version and validates them as a {@link Snapshot}. */
public final class SnapshotParser {
  private static final String PROFILES = "profiles/";
  private static final String SERVICES = "services/";
  private static final ObjectMapper LENIENT =
      Json.MAPPER
          .copy()
          .disable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

  private SnapshotParser() {}

  /**
   * Parses and validates all parts.
   *
   * @param parts content of each declaration by its path
   * @throws InvalidDeclarationException if any part is invalid; contains every problem found
   */
  public static Snapshot parse(long version, String digest, Map<String, byte[]> parts)
      throws InvalidDeclarationException {
    List<Problem> problems = new ArrayList<>();
    Map<String, Profile> profiles = new LinkedHashMap<>();
    Map<String, Service> services = new LinkedHashMap<>();
    for (Map.Entry<String, byte[]> part : new TreeMap<>(parts).entrySet()) {
      String path = part.getKey();
      if (path.startsWith(PROFILES)) {
        readDocument(path, part.getValue(), Profile.class, problems)
            .ifPresent(profile -> addProfile(path, profile, profiles, problems));
      } else if (path.startsWith(SERVICES)) {
        readDocument(path, part.getValue(), Service.class, problems)
            .ifPresent(service -> addService(path, service, services, problems));
      } else {
        problems.add(new Problem(path, "this file", "expected profiles/*.json or services/*.json"));
      }
    }
    problems.addAll(SnapshotValidator.checkReferences(profiles, services));
    if (!problems.isEmpty()) {
      throw new InvalidDeclarationException(problems);
    }
    return new Snapshot(version, digest, profiles, services);
  }

  /**
   * Parses a JSON document strictly. If that fails, adds a problem that names the JSON path and
   * returns empty.
   */
  public static <T> Optional<T> readDocument(
      String file, byte[] content, Class<T> type, List<Problem> problems) {
    try {
      rejectUnknownProperties(content, type);
      return Optional.of(Json.MAPPER.readValue(content, type));
    } catch (UnrecognizedPropertyException e) {
      problems.add(
          new Problem(
              file + ": " + jsonPath(e),
              "property \"" + e.getPropertyName() + '"',
              "expected one of the properties " + e.getKnownPropertyIds()));
    } catch (JsonMappingException e) {
      problems.add(new Problem(file + ": " + jsonPath(e), "the value", e.getOriginalMessage()));
    } catch (JsonProcessingException e) {
      problems.add(
          new Problem(
              file + ": line " + (e.getLocation() == null ? 0 : e.getLocation().getLineNr()),
              "the text",
              "expected valid JSON: " + e.getOriginalMessage()));
    } catch (IOException e) {
      problems.add(new Problem(file, "the file", "expected readable content: " + e.getMessage()));
    }
    return Optional.empty();
  }

  /**
   * Rejects unknown properties before the strict parser runs. That parser would report a misspelt
   * property name as a missing property.
   */
  private static void rejectUnknownProperties(byte[] content, Class<?> type) throws IOException {
    try {
      Object unused = LENIENT.readValue(content, type);
    } catch (UnrecognizedPropertyException e) {
      throw e;
    } catch (JsonMappingException e) {
      // The strict parser, which runs next, reports all other errors.
      return;
    }
  }

  private static void addProfile(
      String path, Profile profile, Map<String, Profile> profiles, List<Problem> problems) {
    problems.addAll(SnapshotValidator.checkProfile(path, profile));
    if (profiles.put(profile.name(), profile) != null) {
      problems.add(new Problem(path + ": name", profile.name(), "expected a unique name"));
    }
  }

  private static void addService(
      String path, Service service, Map<String, Service> services, List<Problem> problems) {
    problems.addAll(SnapshotValidator.checkService(path, service));
    if (services.put(service.name(), service) != null) {
      problems.add(new Problem(path + ": name", service.name(), "expected a unique name"));
    }
  }

  private static String jsonPath(JsonMappingException e) {
    StringBuilder path = new StringBuilder();
    for (JsonMappingException.Reference step : e.getPath()) {
      if (step.getFieldName() == null) {
        path.append('[').append(step.getIndex()).append(']');
      } else {
        path.append(path.isEmpty() ? "" : ".").append(step.getFieldName());
      }
    }
    return path.isEmpty() ? "(root)" : path.toString();
  }
}
