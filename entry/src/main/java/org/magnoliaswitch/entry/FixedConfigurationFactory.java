package org.magnoliaswitch.entry;

import io.dropwizard.configuration.ConfigurationFactory;
import io.dropwizard.configuration.ConfigurationSourceProvider;

/** Gives the framework a configuration derived from settings that were read and checked before. */
final class FixedConfigurationFactory implements ConfigurationFactory<EntryConfiguration> {
  private final EntrySettings settings;

  FixedConfigurationFactory(EntrySettings settings) {
    this.settings = settings;
  }

  @Override
  public EntryConfiguration build(ConfigurationSourceProvider provider, String path) {
    return build();
  }

  @Override
  public EntryConfiguration build() {
    return new EntryConfiguration(settings);
  }
}
