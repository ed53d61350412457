package gingerring;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * Dependencies of the deployed program: no libraries other than MINA and SLF4J, and no I/O, threads
 * or clock in the decision module.
 */
class LayoutTest {
  private static final JavaClasses MAIN_CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("gingerring");

  @Test
  void mainClassesDependOnlyOnMinaAndSlf4j() {
    classes()
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(
            "gingerring..", "java..", "sun.misc..", "org.apache.mina..", "org.slf4j..")
        .check(MAIN_CLASSES);
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("gingerring.traffic..", "gingerring.emulator..", "gingerring.cli..")
        .check(MAIN_CLASSES);
  }

  @Test
  void decisionsUseNoSocketThreadOrClock() {
    noClasses()
        .that()
        .resideInAPackage("gingerring.decide..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.net..",
            "java.nio..",
            "java.io..",
            "java.util.concurrent..",
            "org.apache.mina..",
            "gingerring.net..",
            "gingerring.server..")
        .check(MAIN_CLASSES);
    noClasses()
        .that()
        .resideInAPackage("gingerring.decide..")
        .should()
        .dependOnClassesThat()
        .belongToAnyOf(Thread.class, java.time.Clock.class, java.time.Instant.class)
        .check(MAIN_CLASSES);
  }
}
