// An address of the lab's: given by the kernel, and kept from the start of the run to its end, whether
// somebody listens there or not, so that two runs on one machine never meet.
#ifndef VIOLETWING_LAB_DOOR_HPP_
#define VIOLETWING_LAB_DOOR_HPP_

#include <functional>
#include <memory>
#include <vector>

#include "lab/shell.hpp"

namespace violetwing::lab {

class Door {
 public:
  enum class State {
    kRefusing,  // nobody listens: connections are refused
    kOpen,
    kSilent,  // the machine does not answer: connections never come up
  };

  explicit Door(asio::io_context& io, std::function<void(Tcp::socket)> on_accept = {});
  ~Door();
  Door(const Door&) = delete;
  Door& operator=(const Door&) = delete;

  const Tcp::endpoint& address() const { return address_; }
  State state() const { return state_; }
  // Going back from silence resets what came meanwhile, as a machine does that is back.
  void Set(State state);

 private:
  void Close();
  void Listen(int backlog);
  void Accept();
  void Plug();

  asio::io_context& io_;
  std::function<void(Tcp::socket)> on_accept_;
  Tcp::socket reserved_;  // bound, and never listens
  Tcp::endpoint address_;
  State state_ = State::kRefusing;
  std::shared_ptr<Tcp::acceptor> acceptor_;
  std::vector<Tcp::socket> plugs_;
};

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_DOOR_HPP_
