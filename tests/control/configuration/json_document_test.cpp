// Tests the operations on documents that may nest deeply.
#include "control/configuration/json_document.hpp"

#include <catch2/catch.hpp>

#include "common/random.hpp"

namespace violetwing::configuration {
namespace {

using Json = nlohmann::ordered_json;

// A document that nests deeper than the library may serialize, and that still can be serialized by it.
constexpr int kDeep = 1200;

Json DrawScalar(Random& random) {
  switch (random.Below(6)) {
    case 0:
      return nullptr;
    case 1:
      return random.Below(2) == 1;
    case 2:
      return -static_cast<int>(random.Below(1000));
    case 3:
      return static_cast<double>(random.Below(1000)) / 7;
    case 4:
      return "text with \"quotes\", \\ and \u00e9";
    default:
      return random.Below(2) == 1 ? Json::array() : Json::object();
  }
}

// Wraps a drawn value in `depth` containers that hold other values before and after it.
Json DrawDocument(Random& random, int depth) {
  Json document = DrawScalar(random);
  for (int level = 0; level < depth; ++level) {
    Json outer = random.Below(2) == 1 ? Json::array() : Json::object();
    for (std::uint64_t before = random.Below(3); before > 0; --before) {
      if (outer.is_array())
        outer.push_back(DrawScalar(random));
      else
        outer["before \n" + std::to_string(before)] = DrawScalar(random);
    }
    if (outer.is_array())
      outer.push_back(std::move(document));
    else
      outer["inner"] = std::move(document);
    if (outer.is_object() && random.Below(2) == 1) outer["after"] = DrawScalar(random);
    document = std::move(outer);
  }
  return document;
}

std::string Nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

}  // namespace

TEST_CASE("Serialize returns the same text as the library, at any depth") {
  Random random(1);
  for (int draw = 0; draw < 20; ++draw) {
    for (const int depth : {0, 1, 5, kDeep}) {
      const Json document = DrawDocument(random, depth);
      CHECK(Serialize(document) == document.dump());
    }
  }
}

TEST_CASE("Documents of any depth are measured and serialized") {
  CHECK(NestingDepth(Json(1)) == 0);
  CHECK(NestingDepth(Json::object()) == 1);
  CHECK(NestingDepth(Json::parse(R"({"a":[1,{"b":[]}],"c":[]})")) == 4);
  for (const std::size_t depth :
       {std::size_t{999}, std::size_t{1000}, std::size_t{1001}, std::size_t{1'000'000}}) {
    const Json document = Json::parse(Nested(depth));
    CHECK(NestingDepth(document) == depth);
    CHECK(Serialize(document) == Nested(depth));
  }
}

}  // namespace violetwing::configuration
