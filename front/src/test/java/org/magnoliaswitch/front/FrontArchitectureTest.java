package org.magnoliaswitch.front;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

/** Tests that packages are layered by life span, and that decisions do no input or output. */
public final class FrontArchitectureTest {
  private final JavaClasses classes =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.magnoliaswitch.front");

  @Test
  public void packagesAreFreeOfCycles() {
    slices().matching("org.magnoliaswitch.front.(*)..").should().beFreeOfCycles().check(classes);
  }

  @Test
  public void decisionsDependOnNeitherNetworkNorClock() {
    noClasses()
        .that()
        .resideInAnyPackage("..front.load..", "..front.version..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("io.netty..", "java.net..", "org.magnoliaswitch.core.clock..")
        .check(classes);
  }

  @Test
  public void longerLivedPackagesDoNotDependOnRequests() {
    noClasses()
        .that()
        .resideInAnyPackage("..front.process..", "..front.connection..", "..front.peer..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("..front.request..")
        .check(classes);
  }
}
