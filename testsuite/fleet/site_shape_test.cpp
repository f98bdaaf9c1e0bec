// The shape that a site file gives a fleet, and the limits of its hosts.

#include "process_limits.h"
#include "site_shape.h"

#include <doctest/doctest.h>

#include <fstream>
#include <unistd.h>

using namespace turmerichead;
using namespace turmerichead::fleet_harness;

TEST_CASE("site_file_is_read_and_limits_are_kept") {
  SUBCASE("hosts, routes and programs of the small site") {
    findings Findings;
    auto Shape = site_shape::load(SMALL_SITE, Findings);
    REQUIRE_MESSAGE(Shape, Findings.toText());
    CHECK(Shape->Entries.size() == 2);
    CHECK(Shape->Entries[0].Count == 2);
    CHECK(Shape->Entries[0].Limits.FileDescriptors == 1024);
    CHECK(Shape->Disks[1].Limits.DiskMb == 200);
    CHECK(Shape->Disks[1].Limits.MemoryMb == 130);
    REQUIRE(Shape->Routes.size() == 3);
    const route_shape *Book = Shape->findRoute("/book/book/");
    REQUIRE(Book);
    CHECK(Book->Kind == route_kind::Unsafe);
    CHECK(Book->Attempts == 1);
    CHECK(Shape->findRoute("/elsewhere/") == nullptr);
    CHECK(Shape->findService("models")->Events == 6);
    CHECK(Shape->findService("models")->EventGap == milliseconds(20));
    CHECK(Shape->Programs[0].Tools.size() == 2);
    CHECK(Shape->programsPerSecond() == doctest::Approx(6));
    CHECK(Shape->Bounds->RecoveryS == doctest::Approx(12));
  }
  SUBCASE("what is missing is found") {
    findings Findings;
    std::string File = std::string(FLEET_SCRATCH) + "-site.toml";
    std::ofstream(File) << "name = 'x'\nzones = [{name = 'a'}]\n";
    CHECK_FALSE(site_shape::load(File, Findings));
    CHECK(Findings.toText().find("machines") != std::string::npos);
    CHECK(Findings.toText().find("bounds") != std::string::npos);
  }
  SUBCASE("a process that uses its share of time up waits") {
    cpu_bucket Bucket(0.25);
    CHECK(Bucket.update(10, 10));
    CHECK_FALSE(Bucket.update(10, 30));
    CHECK_FALSE(Bucket.update(10, 0));
    CHECK(Bucket.update(40, 0));
    // What is not used does not add up beyond a tenth of a second.
    CHECK(Bucket.update(10'000, 0));
    CHECK_FALSE(Bucket.update(10, 30));
  }
  SUBCASE("resident memory is read") {
    CHECK(residentMb(getpid()) > 0);
    CHECK(residentMb(-1) == 0);
  }
}
