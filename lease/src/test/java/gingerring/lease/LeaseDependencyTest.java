package gingerring.lease;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.api.Test;

class LeaseDependencyTest {
  /**
   * Guards against code in the lease module that depends on this machine, the current time or other
   * modules, because all mixers must decide alike from the same input.
   */
  @Test
  void mainClassesUseOnlyPlainData() {
    JavaClasses classes =
        new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("gingerring.lease");
    ArchRuleDefinition.classes()
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(
            "gingerring.lease",
            "gingerring.share",
            "java.lang",
            "java.lang.invoke",
            "java.lang.runtime",
            "java.util",
            "java.util.function",
            "java.util.stream",
            "java.util.random",
            "java.time",
            "java.nio.charset")
        .check(classes);
    ArchRuleDefinition.noClasses()
        .should()
        .dependOnClassesThat()
        .haveNameMatching(
            "java\\.time\\.Clock|"
                + "java\\.lang\\.Thread|java\\.util\\.Timer|java\\.lang\\.System")
        .check(classes);
  }
}
