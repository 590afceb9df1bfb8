package org.magnoliaswitch.core.platform;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.classic.methods.HttpPut;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.util.Timeout;
import org.magnoliaswitch.core.version.Json;

/** HTTP client of the platform's table service, object store and instance list. */
public final class HttpPlatform implements PlatformTable, ObjectStore, InstanceList, AutoCloseable {
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int MAX_CONNECTIONS = 16;

  private record Response(int status, byte[] body) {}

  private final URI base;
  private final CloseableHttpClient client;
  private final PlatformEpoch epoch = new PlatformEpoch();

  public HttpPlatform(URI base, long timeoutMillis) {
    this.base = base;
    Timeout timeout = Timeout.ofMilliseconds(timeoutMillis);
    ConnectionConfig connections =
        ConnectionConfig.custom().setConnectTimeout(timeout).setSocketTimeout(timeout).build();
    RequestConfig requests =
        RequestConfig.custom()
            .setResponseTimeout(timeout)
            .setConnectionRequestTimeout(timeout)
            .build();
    // The client library must not retry: a repeated transaction would report a conflict with its
    // own
    // first attempt and hide that only the answer to that attempt was lost.
    this.client =
        HttpClients.custom()
            .setConnectionManager(
                PoolingHttpClientConnectionManagerBuilder.create()
                    .setDefaultConnectionConfig(connections)
                    .setMaxConnPerRoute(MAX_CONNECTIONS)
                    .setMaxConnTotal(MAX_CONNECTIONS)
                    .build())
            .setDefaultRequestConfig(requests)
            .disableAutomaticRetries()
            .disableCookieManagement()
            .build();
  }

  @Override
  public List<Row> read(List<String> keys) throws PlatformException {
    HttpPost request = new HttpPost(base.resolve("/table/read"));
    request.setEntity(jsonEntity(keys));
    return fetchRows(request);
  }

  @Override
  public List<Row> scan(String prefix, int limit) throws PlatformException {
    return fetchRows(
        new HttpGet(base.resolve("/table/scan?limit=" + limit + "&prefix=" + encode(prefix))));
  }

  @Override
  public TransactionResult transact(List<ConditionalWrite> writes) {
    HttpPost request = new HttpPost(base.resolve("/table/transact"));
    request.setEntity(jsonEntity(writes));
    try {
      Response response = execute(request);
      return switch (response.status()) {
        case OK -> new TransactionResult.Committed();
        case CONFLICT -> new TransactionResult.Conflict(parseRows(response.body()));
        default -> new TransactionResult.Unknown("status=" + response.status());
      };
    } catch (IOException e) {
      return new TransactionResult.Unknown(e.toString());
    }
  }

  @Override
  public long epoch() {
    return epoch.newest();
  }

  @Override
  public Optional<byte[]> get(String name) throws PlatformException {
    Response response = call(new HttpGet(base.resolve("/objects?name=" + encode(name))));
    return response.status() == NOT_FOUND ? Optional.empty() : Optional.of(expectOk(response));
  }

  @Override
  public void put(String name, byte[] content) throws PlatformException {
    HttpPut request = new HttpPut(base.resolve("/objects?name=" + encode(name)));
    request.setEntity(new ByteArrayEntity(content, ContentType.APPLICATION_OCTET_STREAM));
    expectOk(call(request));
  }

  @Override
  public List<ListedInstance> list() throws PlatformException {
    byte[] body = expectOk(call(new HttpGet(base.resolve("/instances"))));
    try {
      return Json.MAPPER.readValue(body, new TypeReference<List<ListedInstance>>() {});
    } catch (IOException e) {
      throw new PlatformException("unreadable instance list", e);
    }
  }

  @Override
  public void close() throws IOException {
    client.close();
  }

  private List<Row> fetchRows(HttpUriRequestBase request) throws PlatformException {
    byte[] body = expectOk(call(request));
    try {
      return parseRows(body);
    } catch (IOException e) {
      throw new PlatformException("unreadable rows", e);
    }
  }

  private static List<Row> parseRows(byte[] body) throws IOException {
    return Json.MAPPER.readValue(body, new TypeReference<List<Row>>() {});
  }

  private Response call(HttpUriRequestBase request) throws PlatformException {
    try {
      return execute(request);
    } catch (IOException e) {
      throw new PlatformException("no answer from the platform: " + e, e);
    }
  }

  private Response execute(HttpUriRequestBase request) throws IOException {
    return client.execute(
        request,
        response -> {
          Header named = response.getFirstHeader(PlatformEpoch.HEADER);
          epoch.record(named == null ? null : named.getValue());
          byte[] body =
              response.getEntity() == null
                  ? new byte[0]
                  : EntityUtils.toByteArray(response.getEntity());
          return new Response(response.getCode(), body);
        });
  }

  private static byte[] expectOk(Response response) throws PlatformException {
    if (response.status() != OK) {
      throw new PlatformException("the platform answered with status " + response.status());
    }
    return response.body();
  }

  private static ByteArrayEntity jsonEntity(Object value) {
    try {
      return new ByteArrayEntity(
          Json.MAPPER.writeValueAsBytes(value), ContentType.APPLICATION_JSON);
    } catch (IOException e) {
      throw new IllegalStateException("rows are always writable as JSON", e);
    }
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
