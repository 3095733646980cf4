// The estimate of a server's prefix cache.
#include "dataplane/load_balancing/prefix_cache.hpp"

#include <catch2/catch.hpp>

namespace violetwing {

TEST_CASE("A part is cached only behind the same prefix, and the cache's capacity is bounded") {
  PrefixCache cache;
  const auto parts = ParsePromptParts("a:100,b:200,c:300");
  cache.Insert("m", parts, 1000);
  CHECK(cache.CachedTokens("m", parts) == 600);
  CHECK(cache.CachedTokens("m/a1", parts) == 0);
  CHECK(cache.CachedTokens("m", ParsePromptParts("b:200,a:100")) == 0);
  CHECK(cache.CachedTokens("m", ParsePromptParts("a:100,x:5,c:300")) == 100);
  cache.Insert("m", ParsePromptParts("z:900"), 1000);
  CHECK(cache.CachedTokens("m", parts) <= 100);
  CHECK(ParsePromptParts("a:1,b,c:3").size() == 1);
  CHECK(ParsePromptParts("a:-1").empty());
}

TEST_CASE("Parts of no tokens do not fill the cache without a bound") {
  PrefixCache cache;
  const auto first = ParsePromptParts("first:0");
  const auto last = ParsePromptParts("last:1");
  cache.Insert("m", first, 1000);
  for (std::size_t i = 0; i < PrefixCache::kMaxEntries; ++i)
    cache.Insert("m", ParsePromptParts("part-" + std::to_string(i) + ":0"), 1000);
  cache.Insert("m", last, 1000);
  CHECK(cache.entries() <= PrefixCache::kMaxEntries);
  CHECK(cache.CachedTokens("m", last) == 1);
}

TEST_CASE("Only the first parts of a prompt count") {
  std::string text = "p:1";
  for (std::size_t i = 0; i < 2 * kMaxPromptParts; ++i) text += ",p:1";
  CHECK(ParsePromptParts(text).size() == kMaxPromptParts);
}

}  // namespace violetwing
