#include "control/storage/store.hpp"

#include <spdlog/spdlog.h>

#include <chrono>
#include <system_error>
#include <utility>

namespace violetwing {
namespace {

// Delay before a failed commit is retried.
constexpr std::chrono::milliseconds kRetryDelay{200};

}  // namespace

Store::~Store() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopped_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) thread_.join();
}

void Store::Start(std::function<void()> notify) {
  notify_ = std::move(notify);
  thread_ = std::thread([this] { RunWorker(); });
}

void Store::Enqueue(ShardWrite write, std::uint64_t token) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    queue_.writes.push_back(std::move(write));
    queue_.tokens.push_back(token);
  }
  wake_.notify_one();
}

std::vector<std::uint64_t> Store::TakeDurable() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::exchange(durable_, {});
}

void Store::RunWorker() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    wake_.wait(lock, [this] { return stopped_ || !queue_.writes.empty(); });
    if (stopped_) return;
    const Batch batch = std::exchange(queue_, {});
    lock.unlock();
    if (!CommitWithRetry(batch.writes)) return;
    lock.lock();
    durable_.insert(durable_.end(), batch.tokens.begin(), batch.tokens.end());
    lock.unlock();
    notify_();
    lock.lock();
  }
}

bool Store::CommitWithRetry(const std::vector<ShardWrite>& writes) {
  std::error_code logged_error;
  while (const std::error_code error = database_.Commit(writes)) {
    if (std::exchange(logged_error, error) != error)
      spdlog::error("store commit failed retry_ms={} error={}", kRetryDelay.count(), error.message());
    std::this_thread::sleep_for(kRetryDelay);
    if (IsStopped()) return false;
  }
  if (logged_error) spdlog::info("store commit succeeded after retries");
  return true;
}

bool Store::IsStopped() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return stopped_;
}

}  // namespace violetwing
