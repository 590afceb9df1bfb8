package org.magnoliaswitch.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.Architectures;
import org.testng.annotations.Test;

/**
 * Checks the dependencies between packages. Packages form layers by lifetime: code for short-lived
 * objects may use code for longer-lived objects, but not the reverse.
 */
public final class ArchitectureTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.magnoliaswitch.core");

  @Test
  public void layersDependInOneDirection() {
    Architectures.layeredArchitecture()
        .consideringOnlyDependenciesInLayers()
        .layer("clock")
        .definedBy("..core.clock..")
        .layer("version")
        .definedBy("..core.version..")
        .layer("platform")
        .definedBy("..core.platform..")
        .layer("peer")
        .definedBy("..core.peer..")
        .layer("connection")
        .definedBy("..core.connection..")
        .layer("process")
        .definedBy("..core.process..")
        .layer("request")
        .definedBy("..core.request..")
        .layer("operator")
        .definedBy("..core.operator..")
        .whereLayer("request")
        .mayNotBeAccessedByAnyLayer()
        .whereLayer("operator")
        .mayNotBeAccessedByAnyLayer()
        .whereLayer("process")
        .mayOnlyBeAccessedByLayers("request", "operator")
        .whereLayer("connection")
        .mayOnlyBeAccessedByLayers("process", "request")
        .whereLayer("peer")
        .mayOnlyBeAccessedByLayers("process", "request", "operator")
        .check(CLASSES);
  }

  @Test
  public void packagesHaveNoCycles() {
    slices().matching("org.magnoliaswitch.core.(*)..").should().beFreeOfCycles().check(CLASSES);
  }

  @Test
  public void crashDecisionsDependOnNeitherNetworkNorClock() {
    noClasses()
        .that()
        .resideInAPackage("..core.crash..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("java.net..", "org.apache.hc..", "..core.clock..")
        .check(CLASSES);
  }

  @Test
  public void declarationsDoNotDependOnNetworking() {
    noClasses()
        .that()
        .resideInAPackage("..core.version..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("java.net..", "org.apache.hc..")
        .check(CLASSES);
  }
}
