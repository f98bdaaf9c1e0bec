#include "../libnet/test_loop_pvt.h"

using namespace turmerichead;
using namespace turmerichead::pvt;

// Guards against actions that are called inside add(), out of order, or in the
// iteration that added them, and against use of a destroyed queue.
TEST_CASE(
    "deferred actions run in order, and may add others or end the queue") {
  auto Queue = std::make_unique<deferred_actions>();
  std::string Ran;
  Queue->add([&] {
    Ran += "a";
    Queue->add([&] {
      Ran += "c";
      Queue.reset();
      Ran += "d";
    });
    Queue->add([&] { Ran += "e"; });
  });
  Queue->add([&] { Ran += "b"; });
  CHECK(Ran.empty());
  g_main_context_iteration(nullptr, TRUE);
  CHECK(Ran == "ab");
  g_main_context_iteration(nullptr, TRUE);
  CHECK(Ran == "abcd");
  CHECK_FALSE(g_main_context_iteration(nullptr, FALSE));
}
